#include "core/evacuation_progress.h"

#include <algorithm>

namespace sycamorestall {

std::string EvacuationProgress::Update(std::size_t keys_left, bool any_evacuated, Instant now) {
  keys_left_ = any_evacuated ? keys_left : 0;
  if (!active_) {
    if (keys_left_ == 0) {
      return {};
    }
    active_ = true;
    began_at_ = now;
    keys_at_begin_ = keys_left_;
    return "evacuation begun keys=" + std::to_string(keys_left_);
  }
  keys_at_begin_ = std::max(keys_at_begin_, keys_left_);
  if (keys_left_ > 0) {
    return {};
  }
  active_ = false;
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - began_at_);
  const std::string after = " after_ms=" + std::to_string(elapsed.count());
  return std::string{any_evacuated ? "evacuation finished"
                                   : "evacuation withdrawn before its end"} +
         " keys=" + std::to_string(keys_at_begin_) + after;
}

}  // namespace sycamorestall
