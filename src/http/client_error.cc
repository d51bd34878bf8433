#include "http/client_error.h"

#include <string>

namespace sycamorestall::http {

namespace {

// Error category that describes the ClientError values.
class HttpClientErrorCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "http-client"; }

  std::string message(int value) const override {
    switch (static_cast<ClientError>(value)) {
      case ClientError::kNotConnected:
        return "no connection";
      case ClientError::kTimeout:
        return "no answer in time";
      case ClientError::kBroken:
        return "the connection broke";
      case ClientError::kStopped:
        return "the client was stopped";
    }
    return "unknown error";
  }
};

}  // namespace

const std::error_category& ClientErrorCategory() {
  static const HttpClientErrorCategory category;
  return category;
}

std::error_code make_error_code(ClientError error) {
  return {static_cast<int>(error), ClientErrorCategory()};
}

}  // namespace sycamorestall::http
