#pragma once

#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/plan_book.h"

namespace sycamorestall {

// Why a document was refused, in one sentence.
struct DocumentError {
  std::string message;

  friend bool operator==(const DocumentError&, const DocumentError&) = default;
};

// One accepted change of a document.
struct DocumentChange {
  std::uint64_t version = 0;
  std::string change_id;
  std::string author;
  // Milliseconds since 1970, UTC.
  std::int64_t at_ms = 0;

  friend bool operator==(const DocumentChange&, const DocumentChange&) = default;
};

// A document as the store keeps it: its content as JSON text, and the latest
// changes, newest first.
struct StoredDocument {
  std::uint64_t version = 0;
  std::string content;
  std::vector<DocumentChange> history;

  friend bool operator==(const StoredDocument&, const StoredDocument&) = default;
};

// Reads and checks a list of plans, {"plans": {NAME: {"weight": W,
// "max_in_flight": N, "services": [...]}}}; every field of a plan may be absent.
std::variant<PlansDocument, DocumentError> ParsePlans(const std::string& json,
                                                      const std::set<ServiceName>& services);
// Reads and checks a list of customers, {"customers": {NAME: PLAN}}.
std::variant<CustomersDocument, DocumentError> ParseCustomers(const std::string& json);
// Finds a customer whose plan is missing; empty when there is none.
std::string FindMissingPlan(const PlansDocument& plans, const CustomersDocument& customers);

// Writes a stored document as the text kept in the store.
std::string WriteStoredDocument(const StoredDocument& document);
// Reads a stored document; an empty text is version 0.
std::variant<StoredDocument, DocumentError> ParseStoredDocument(const std::string& text);

}  // namespace sycamorestall
