#pragma once

#include <cstddef>
#include <string>

#include "core/boot_clock.h"

namespace sycamorestall {

// Follows how the keys of one service leave evacuated failure domains.
class EvacuationProgress {
 public:
  // Notes how many keys endpoints of evacuated domains own, and whether any domain is evacuated.
  // Returns what is new, for the log; empty if there is nothing to tell.
  std::string Update(std::size_t keys_left, bool any_evacuated, Instant now);
  // Forgets it, as another daemon leads.
  void Reset() { *this = {}; }

  std::size_t keys_left() const { return keys_left_; }
  // Whether keys are or were to be moved and the end was not told yet.
  bool active() const { return active_; }

 private:
  bool active_ = false;
  Instant began_at_;
  // The most keys that were to be moved at one time.
  std::size_t keys_at_begin_ = 0;
  std::size_t keys_left_ = 0;
};

}  // namespace sycamorestall
