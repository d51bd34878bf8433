#include <string>

#include "store/store.h"

namespace sycamorestall {

namespace {

class StoreCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "store"; }
  std::string message(int value) const override {
    switch (static_cast<StoreError>(value)) {
      case StoreError::kNoAnswer:
        return "no answer";
      case StoreError::kRefused:
        return "refused";
      case StoreError::kHistoryGone:
        return "history gone";
      case StoreError::kLeaseGone:
        return "lease ended";
      case StoreError::kConflict:
        return "conflict";
      case StoreError::kBadAnswer:
        return "answer not understood";
      case StoreError::kTooLarge:
        return "answer too large";
      case StoreError::kGivenUp:
        return "no answer, but to a later call";
    }
    return "unknown";
  }
};

}  // namespace

const std::error_category& StoreErrorCategory() {
  static const StoreCategory category;
  return category;
}

std::error_code make_error_code(StoreError error) {
  return {static_cast<int>(error), StoreErrorCategory()};
}

}  // namespace sycamorestall
