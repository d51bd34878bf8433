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

// Why a call to the platform gave no result.
enum class PlatformError {
  // No answer; a write may have taken effect.
  kNoAnswer = 1,
  // The platform says that it is out of service; nothing was changed.
  kOutage,
  // The answer was not understood.
  kBadAnswer,
};

// The category of the errors above.
const std::error_category& PlatformErrorCategory();
// Makes an error code of a platform error.
std::error_code make_error_code(PlatformError error);

// A value of the store; revision 0 says that the key is absent.
struct StoreValue {
  Revision revision;
  std::string text;

  friend bool operator==(const StoreValue&, const StoreValue&) = default;
};

// How a compare-and-swap ended, with the value found if it lost.
struct SwapResult {
  WriteOutcome verdict = WriteOutcome::kUnknown;
  StoreValue value;
};

// The platform's store and its list of instances. Results come on a thread of
// the implementation's.
class Platform {
 public:
  virtual ~Platform() = default;

  using ReadCallback = std::function<void(std::error_code, StoreValue)>;
  using ListCallback = std::function<void(std::error_code, std::map<std::string, StoreValue>)>;
  using SwapCallback = std::function<void(SwapResult)>;
  using InstancesCallback = std::function<void(std::error_code, InstanceList)>;

  // Reads one key.
  virtual void Read(const std::string& key, ReadCallback callback) = 0;
  // Reads all keys with a prefix.
  virtual void ReadPrefix(const std::string& prefix, ListCallback callback) = 0;
  // Writes a key if its revision is still the expected one.
  virtual void Swap(const std::string& key, const std::string& text, Revision expected,
                    SwapCallback callback) = 0;
  // Waits until a key's revision is above the given one, or until the time is up.
  virtual void Watch(const std::string& key, Revision above, std::chrono::milliseconds wait,
                     ReadCallback callback) = 0;
  // Reads the list of instances.
  virtual void ReadInstances(InstancesCallback callback) = 0;
};

}  // namespace sycamorestall

// Lets platform errors turn into error codes by themselves.
template <>
struct std::is_error_code_enum<sycamorestall::PlatformError> : std::true_type {};
