#include "platform/http_platform.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "http/status.h"
#include "platform/record_json.h"

namespace sycamorestall {

namespace {

using nlohmann::json;

// Error category that describes the values of PlatformError.
class PlatformCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "platform"; }

  std::string message(int value) const override {
    switch (static_cast<PlatformError>(value)) {
      case PlatformError::kNoAnswer:
        return "the platform gave no answer";
      case PlatformError::kOutage:
        return "the platform is out of service";
      case PlatformError::kBadAnswer:
        return "the platform's answer was not understood";
    }
    return "unknown error";
  }
};

std::error_code ToPlatformError(const http::CallResult& result) {
  if (result.error) {
    return PlatformError::kNoAnswer;
  }
  return result.status == http::kServiceUnavailable ? PlatformError::kOutage
                                                    : PlatformError::kBadAnswer;
}

StoreValue ParseStoreValue(const json& object) {
  return {Revision{object.at("revision").get<std::uint64_t>()},
          object.at("value").get<std::string>()};
}

SwapResult ParseSwapResult(const http::CallResult& result) {
  const bool has_outcome =
      !result.error && (result.status == http::kOk || result.status == http::kConflict);
  if (!has_outcome) {
    return {};
  }
  try {
    const json object = json::parse(result.body);
    if (result.status == http::kOk) {
      return {WriteOutcome::kApplied, {Revision{object.at("revision").get<std::uint64_t>()}, {}}};
    }
    return {WriteOutcome::kConflict, ParseStoreValue(object)};
  } catch (const json::exception&) {
    return {};
  }
}

}  // namespace

const std::error_category& PlatformErrorCategory() {
  static const PlatformCategory category;
  return category;
}

std::error_code make_error_code(PlatformError error) {
  return {static_cast<int>(error), PlatformErrorCategory()};
}

HttpPlatform::HttpPlatform(std::string origin, std::string caller,
                           std::chrono::milliseconds timeout)
    : origin_(std::move(origin)),
      caller_(std::move(caller)),
      timeout_(timeout),
      client_(http::ClientSettings{}) {}

http::Call HttpPlatform::MakeCall(http::Method method, const std::string& path) const {
  http::Call call;
  call.method = method;
  call.url = origin_ + path;
  call.timeout = timeout_;
  call.headers.push_back({"Platform-Caller", caller_});
  return call;
}

void HttpPlatform::StartRead(http::Call call, ReadCallback callback) {
  client_.StartCall(std::move(call),
                    [callback = std::move(callback)](const http::CallResult& result) {
                      if (!result.error && result.status == http::kNotFound) {
                        callback({}, {});
                        return;
                      }
                      if (result.error || result.status != http::kOk) {
                        callback(ToPlatformError(result), {});
                        return;
                      }
                      std::error_code error;
                      StoreValue value;
                      try {
                        value = ParseStoreValue(json::parse(result.body));
                      } catch (const json::exception&) {
                        error = PlatformError::kBadAnswer;
                      }
                      callback(error, std::move(value));
                    });
}

void HttpPlatform::Read(const std::string& key, ReadCallback callback) {
  StartRead(MakeCall(http::Method::kGet, "/kv/" + key), std::move(callback));
}

void HttpPlatform::Watch(const std::string& key, Revision above, std::chrono::milliseconds wait,
                         ReadCallback callback) {
  http::Call call =
      MakeCall(http::Method::kGet, "/watch/" + key + "?above=" + std::to_string(above.value) +
                                       "&wait_ms=" + std::to_string(wait.count()));
  call.timeout = wait + timeout_;
  StartRead(std::move(call), std::move(callback));
}

void HttpPlatform::ReadPrefix(const std::string& prefix, ListCallback callback) {
  client_.StartCall(MakeCall(http::Method::kGet, "/list/" + prefix),
                    [callback = std::move(callback)](const http::CallResult& result) {
                      if (result.error || result.status != http::kOk) {
                        callback(ToPlatformError(result), {});
                        return;
                      }
                      std::error_code error;
                      std::map<std::string, StoreValue> values;
                      try {
                        const json object = json::parse(result.body);
                        for (const auto& [key, value] : object.items()) {
                          values[key] = ParseStoreValue(value);
                        }
                      } catch (const json::exception&) {
                        error = PlatformError::kBadAnswer;
                      }
                      callback(error, std::move(values));
                    });
}

void HttpPlatform::CompareAndSwap(const std::string& key, const std::string& text,
                                  Revision expected, SwapCallback callback) {
  http::Call call = MakeCall(http::Method::kPut, "/kv/" + key);
  call.body = json{{"value", text}, {"expected", expected.value}}.dump();
  call.idempotent = false;
  client_.StartCall(std::move(call),
                    [callback = std::move(callback)](const http::CallResult& result) {
                      callback(ParseSwapResult(result));
                    });
}

void HttpPlatform::ReadInstances(InstancesCallback callback) {
  client_.StartCall(MakeCall(http::Method::kGet, "/instances"),
                    [callback = std::move(callback)](const http::CallResult& result) {
                      if (result.error || result.status != http::kOk) {
                        callback(ToPlatformError(result), {});
                        return;
                      }
                      std::optional<InstanceList> list = ParseInstances(result.body);
                      if (!list) {
                        callback(PlatformError::kBadAnswer, {});
                        return;
                      }
                      callback({}, std::move(*list));
                    });
}

}  // namespace sycamorestall
