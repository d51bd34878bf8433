#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <system_error>

#include "core/group_actions.h"
#include "core/identifiers.h"
#include "core/instance_list.h"

namespace sycamorestall {

// Why a call to the platform failed.
enum class PlatformError {
  // No answer; a write may have taken effect.
  kNoAnswer = 1,
  // The platform reported that it is out of service; nothing was changed.
  kOutage,
  // The answer could not be parsed or had an unexpected status.
  kBadAnswer,
};

// The error category of PlatformError.
const std::error_category& PlatformErrorCategory();
// Converts a platform error to an error code; std::error_code finds it by its name.
std::error_code make_error_code(PlatformError error);

// A value in the store; revision 0 means that the key does not exist.
struct StoreValue {
  Revision revision;
  std::string text;

  friend bool operator==(const StoreValue&, const StoreValue&) = default;
};

// The outcome of a compare-and-swap: the new revision if it was applied, the current value if it
// conflicted.
struct SwapResult {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  StoreValue value;
};

// Access to the platform's store and its list of instances. Callbacks run on a thread of the
// implementation.
class Platform {
 public:
  virtual ~Platform() = default;

  using ReadCallback = std::function<void(std::error_code, StoreValue)>;
  using ListCallback = std::function<void(std::error_code, std::map<std::string, StoreValue>)>;
  using SwapCallback = std::function<void(SwapResult)>;
  using InstancesCallback = std::function<void(std::error_code, InstanceList)>;

  // Reads one key; a missing key gives revision 0, not an error.
  virtual void Read(const std::string& key, ReadCallback callback) = 0;
  // Reads all keys with a prefix.
  virtual void ReadPrefix(const std::string& prefix, ListCallback callback) = 0;
  // Writes a key if its revision is still the expected one; revision 0 expects that it does not
  // exist.
  virtual void CompareAndSwap(const std::string& key, const std::string& text, Revision expected,
                              SwapCallback callback) = 0;
  // Waits until a key's revision is above the given one or the wait time has passed, then gives the
  // current value.
  virtual void Watch(const std::string& key, Revision above, std::chrono::milliseconds wait,
                     ReadCallback callback) = 0;
  // Reads the list of instances.
  virtual void ReadInstances(InstancesCallback callback) = 0;
};

}  // namespace sycamorestall

// Makes platform errors convert to std::error_code implicitly.
template <>
struct std::is_error_code_enum<sycamorestall::PlatformError> : std::true_type {};
