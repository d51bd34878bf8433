#include "http/url.h"

#include <doctest/doctest.h>

#include <string>

using sycamorestall::http::DecodePercent;
using sycamorestall::http::EncodePercent;
using sycamorestall::http::ParseUrl;

TEST_CASE("valid URLs are parsed and invalid ones are rejected") {
  struct Row {
    const char* text;
    bool valid;
    const char* host;
    std::uint16_t port;
    const char* target;
  };
  const Row rows[] = {
      {"http://10.0.0.5:7000/kv/a?b=c", true, "10.0.0.5", 7000, "/kv/a?b=c"},
      {"http://store", true, "store", 80, "/"},
      {"http://store:81?x=1", true, "store", 81, "/?x=1"},
      {"https://store/", false, "", 0, ""},
      {"http://:80/", false, "", 0, ""},
      {"http://store:port/", false, "", 0, ""},
      {"http://store:70000/", false, "", 0, ""},
      {"store:80/", false, "", 0, ""},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.text));
    const auto url = ParseUrl(row.text);
    REQUIRE(url.has_value() == row.valid);
    if (url) {
      CHECK(url->address.host == row.host);
      CHECK(url->address.port == row.port);
      CHECK(url->target == row.target);
    }
  }
}

TEST_CASE("percent-encoding is decoded, and rejected if malformed") {
  struct Row {
    const char* text;
    bool valid;
    const char* decoded;
  };
  const Row rows[] = {{"a%20b", true, "a b"}, {"%C3%A9", true, "\xC3\xA9"},
                      {"", true, ""},         {"%", false, ""},
                      {"%2", false, ""},      {"%zz", false, ""},
                      {"%2g", false, ""},     {"a%+1", false, ""}};
  for (const Row& row : rows) {
    CAPTURE(std::string(row.text));
    std::string decoded;
    CHECK(DecodePercent(row.text, decoded) == row.valid);
    if (row.valid) {
      CHECK(decoded == row.decoded);
      std::string decoded_again;
      CHECK(DecodePercent(EncodePercent(decoded), decoded_again));
      CHECK(decoded_again == decoded);
    }
  }
}
