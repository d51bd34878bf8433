#pragma once

#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/customer_plans.h"

namespace sycamorestall {

// Why a document is invalid, in one sentence.
struct DocumentError {
  std::string message;

  friend bool operator==(const DocumentError&, const DocumentError&) = default;
};

// One accepted change to a document.
struct DocumentChange {
  std::uint64_t version = 0;
  std::string change_id;
  std::string author;
  // Unix time in milliseconds.
  std::int64_t at_ms = 0;

  friend bool operator==(const DocumentChange&, const DocumentChange&) = default;
};

// A document as kept in the store: its content as JSON text and its latest changes, newest first.
// Version 0 means that none has been stored.
struct StoredDocument {
  std::uint64_t version = 0;
  std::string content;
  std::vector<DocumentChange> history;

  friend bool operator==(const StoredDocument&, const StoredDocument&) = default;
};

// Parses and validates a plans document, {"plans": {NAME: {"weight": W,
// "max_in_flight": N, "services": [...]}}}; every field of a plan is optional.
std::variant<PlansDocument, DocumentError> ParsePlans(const std::string& json,
                                                      const std::set<ServiceName>& services);
// Parses and validates a customers document, {"customers": {NAME: PLAN}}.
std::variant<CustomersDocument, DocumentError> ParseCustomers(const std::string& json);
// Describes the first customer whose plan does not exist; empty when all plans exist.
std::string FindMissingPlan(const PlansDocument& plans, const CustomersDocument& customers);

// Formats a document as the JSON text kept in the store; its content must be valid JSON.
std::string FormatStoredDocument(const StoredDocument& document);
// Parses a stored document; an empty text gives version 0 with the content {}.
std::variant<StoredDocument, DocumentError> ParseStoredDocument(const std::string& text);

}  // namespace sycamorestall
