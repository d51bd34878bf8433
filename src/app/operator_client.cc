#include "app/operator_client.h"

#include <toml++/toml.h>

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>
#include <thread>
#include <utility>

#include "clock/system_clock.h"
#include "core/uuid_v7.h"
#include "http/http_client.h"
#include "http/status.h"
#include "http/url.h"

namespace sycamorestall {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kCallTimeout{5};
constexpr std::chrono::milliseconds kPollInterval{100};
constexpr int kMaxAttempts = 3;

http::CallResult SendRequest(http::Method method, const std::string& url, std::string body = {}) {
  http::Call call;
  call.method = method;
  call.url = url;
  call.body = std::move(body);
  call.timeout = kCallTimeout;
  call.idempotent = method == http::Method::kGet;
  return http::CallAndWait(std::move(call));
}

ExitStatus ReportUnreachable(const std::string& origin, const http::CallResult& result) {
  std::cerr << "sycamorestall: " << origin << ": " << result.error.message() << "\n";
  return ExitStatus::kDaemonUnreachable;
}

std::string NewChangeId() {
  std::random_device device;
  std::mt19937_64 random(static_cast<std::uint64_t>(device()) << 32 | device());
  return ToString(MakeUuidV7(WallNow(), random(), random()));
}

// Converts a TOML file to JSON. Prints the error and returns nothing if the file
// cannot be parsed.
std::optional<json> ReadToml(const std::string& file) {
  try {
    const toml::table table = toml::parse_file(file);
    std::ostringstream text;
    text << toml::json_formatter{table};
    return json::parse(text.str());
  } catch (const toml::parse_error& error) {
    std::cerr << file << ":" << error.source().begin.line << ": " << error.description() << "\n";
    return std::nullopt;
  }
}

ExitStatus ToExitStatus(std::uint16_t http_status) {
  switch (http_status) {
    case http::kOk:
      return ExitStatus::kSuccess;
    case http::kConflict:
      return ExitStatus::kConflict;
    case http::kBadRequest:
      return ExitStatus::kBadDocument;
    default:
      return ExitStatus::kFailed;
  }
}

}  // namespace

ExitStatus OperatorClient::PrintAnswer(const std::string& path) const {
  const http::CallResult result = SendRequest(http::Method::kGet, origin_ + path);
  if (result.error) {
    return ReportUnreachable(origin_, result);
  }
  (result.status == http::kOk ? std::cout : std::cerr) << result.body;
  return result.status == http::kOk ? ExitStatus::kSuccess : ExitStatus::kFailed;
}

ExitStatus OperatorClient::Status() const { return PrintAnswer("/v1/status"); }

ExitStatus OperatorClient::Explain(const std::string& service, const std::string& key) const {
  return PrintAnswer("/v1/explain/" + service + "/" + http::EncodePercent(key));
}

ExitStatus OperatorClient::ShowDocument(const std::string& name, bool history) const {
  return PrintAnswer("/v1/" + name + (history ? "/history" : ""));
}

ExitStatus OperatorClient::Drain() const {
  const http::CallResult result = SendRequest(http::Method::kPost, origin_ + "/v1/drain");
  if (result.error) {
    return ReportUnreachable(origin_, result);
  }
  std::cout << result.body;
  return ToExitStatus(result.status);
}

ExitStatus OperatorClient::Apply(const std::string& name, const std::string& file,
                                 std::int64_t expected_version, const std::string& author,
                                 bool wait, std::chrono::seconds timeout) const {
  std::optional<json> document = ReadToml(file);
  if (!document) {
    return ExitStatus::kBadDocument;
  }
  if (expected_version < 0) {
    const http::CallResult current = SendRequest(http::Method::kGet, origin_ + "/v1/" + name);
    if (current.error) {
      return ReportUnreachable(origin_, current);
    }
    const json parsed = json::parse(current.body, nullptr, false);
    expected_version = parsed.is_object() ? parsed.value("version", std::int64_t{0}) : 0;
  }
  const json change{{"expected_version", expected_version},
                    {"change_id", NewChangeId()},
                    {"author", author},
                    {"document", std::move(*document)}};
  http::CallResult result;
  // If the reply is lost, the same change is sent again. The daemon recognizes its
  // id and does not apply it twice.
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    result = SendRequest(http::Method::kPut, origin_ + "/v1/" + name, change.dump());
    if (!result.error && result.status < http::kInternalServerError) {
      break;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  if (result.error) {
    return ReportUnreachable(origin_, result);
  }
  const ExitStatus status = ToExitStatus(result.status);
  (status == ExitStatus::kSuccess ? std::cout : std::cerr) << result.body;
  if (status != ExitStatus::kSuccess || !wait) {
    return status;
  }
  return WaitUntilInForce(name, json::parse(result.body).at("version").get<std::uint64_t>(),
                          timeout);
}

ExitStatus OperatorClient::WaitUntilInForce(const std::string& name, std::uint64_t version,
                                            std::chrono::seconds timeout) const {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  std::string lagging;
  do {
    const http::CallResult result = SendRequest(http::Method::kGet, origin_ + "/v1/status");
    const json status = json::parse(result.body, nullptr, false);
    lagging = "the daemon that was asked";
    if (!result.error && status.is_object()) {
      lagging.clear();
      for (const json& daemon : status.at("daemons")) {
        if (daemon.value(name + "_version", std::uint64_t{0}) < version) {
          lagging += " " + daemon.at("instance").get<std::string>();
        }
      }
    }
    if (lagging.empty()) {
      std::cout << "in force on every living daemon\n";
      return ExitStatus::kSuccess;
    }
    std::this_thread::sleep_for(kPollInterval);
  } while (std::chrono::steady_clock::now() < deadline);
  std::cerr << "not yet in force on:" << lagging << "\n";
  return ExitStatus::kNotYetInForce;
}

}  // namespace sycamorestall
