#include "config/plan_json.h"

#include <doctest/doctest.h>

using namespace sycamorestall;  // NOLINT

TEST_CASE("parsing a list of plans reports each kind of error") {
  struct Row {
    const char* name;
    const char* json;
    const char* error;
  };
  const Row rows[] = {
      {"valid", R"({"plans":{"a":{"weight":2,"max_in_flight":5,"services":["soil"]}}})", ""},
      {"defaults", R"({"plans":{"a":{}}})", ""},
      {"field", R"({"plans":{"a":{"wait":1}}})", "plan 'a' has an unknown field 'wait'"},
      {"weight", R"({"plans":{"a":{"weight":0}}})",
       "plan 'a': weight must be above 0 and at most 1000"},
      {"in flight", R"({"plans":{"a":{"max_in_flight":1.5}}})",
       "plan 'a': max_in_flight must be a whole number from 1 to 1000000"},
      {"service", R"({"plans":{"a":{"services":["tea"]}}})",
       "plan 'a': service 'tea' is not known"},
      {"object", R"([1])", "the document must be an object"},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    const auto parsed = ParsePlans(row.json, {ServiceName{"soil"}});
    const auto* error = std::get_if<DocumentError>(&parsed);
    CHECK((error == nullptr ? std::string{} : error->message) == row.error);
  }
}

TEST_CASE("stored documents round-trip through JSON") {
  const StoredDocument document{3, R"({"plans":{}})", {{3, "id", "ann", 17}, {2, "x", "bob", 5}}};
  const auto parsed = ParseStoredDocument(FormatStoredDocument(document));
  REQUIRE(std::holds_alternative<StoredDocument>(parsed));
  CHECK(std::get<StoredDocument>(parsed) == document);
  CHECK(std::holds_alternative<DocumentError>(ParseStoredDocument("{")));
}
