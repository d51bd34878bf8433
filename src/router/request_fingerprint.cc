#include "router/request_fingerprint.h"

#include <xxhash.h>

namespace sycamorestall {

RequestFingerprint FingerprintOf(const CallerExchange& exchange, const std::string& host,
                                 std::optional<std::uint32_t> key) {
  const HttpRequest& request = exchange.request();
  // None of these contains a line feed.
  std::string text = exchange.caller() + "\n" + host + "\n";
  text.append(request.method_string().data(), request.method_string().size()).append("\n");
  text.append(request.target().data(), request.target().size()).append("\n");
  text.append(key ? std::to_string(*key) : "");
  const std::uint64_t body_hash = XXH3_64bits(exchange.body()->data(), exchange.body()->size());
  return {XXH3_64bits_withSeed(text.data(), text.size(), body_hash)};
}

}  // namespace sycamorestall
