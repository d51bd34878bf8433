#include "store/store_observer.h"

#include <chrono>

namespace sycamorestall {

const char* ToString(StoreStateSource source) {
  switch (source) {
    case StoreStateSource::kRead:
      return "read";
    case StoreStateSource::kWatch:
      return "watch";
    case StoreStateSource::kRelay:
      return "relay";
    case StoreStateSource::kOperatorWatch:
      return "operator_watch";
  }
  return "unknown";
}

const char* ToString(UpdateResult result) {
  switch (result) {
    case UpdateResult::kApplied:
      return "applied";
    case UpdateResult::kKnown:
      return "known";
    case UpdateResult::kGap:
      return "gap";
    case UpdateResult::kUndecodable:
      return "undecodable";
    case UpdateResult::kIgnored:
      return "ignored";
  }
  return "unknown";
}

std::string ToString(const UpdateState& state) {
  const auto milliseconds = [](Duration time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
  };
  return "relied_on=" + std::string{state.relied_on ? "yes" : "no"} +
         " updates_ms=" + milliseconds(state.silence) +
         " answer_ms=" + milliseconds(state.answer_age) + " gap=" + (state.gap ? "yes" : "no");
}

}  // namespace sycamorestall
