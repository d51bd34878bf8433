#include "config/plan_json.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sycamorestall {

namespace {

using nlohmann::json;

constexpr double kMaxWeight = 1000;
constexpr std::int64_t kMaxInFlight = 1'000'000;
constexpr std::size_t kMaxNameBytes = 128;

// Thrown and caught within this file; becomes the DocumentError of the result.
struct InvalidDocument {
  std::string message;
};

void RejectUnknownFields(const json& object, const std::set<std::string>& allowed,
                         const std::string& subject) {
  if (!object.is_object()) {
    throw InvalidDocument{subject + " must be an object"};
  }
  for (const auto& [name, value] : object.items()) {
    if (!allowed.contains(name)) {
      throw InvalidDocument{
          std::string(subject).append(" has an unknown field '").append(name).append("'")};
    }
  }
}

void CheckNameLength(const std::string& name, const std::string& subject) {
  if (name.empty() || name.size() > kMaxNameBytes) {
    throw InvalidDocument{subject + " '" + name + "' must be 1 to 128 bytes long"};
  }
}

Plan ParsePlan(const std::string& name, const json& object, const std::set<ServiceName>& services) {
  const std::string subject = "plan '" + name + "'";
  CheckNameLength(name, "plan");
  RejectUnknownFields(object, {"weight", "max_in_flight", "services"}, subject);
  Plan plan;
  if (object.contains("weight")) {
    const json& weight = object.at("weight");
    if (!weight.is_number() || weight.get<double>() <= 0 || weight.get<double>() > kMaxWeight) {
      throw InvalidDocument{subject + ": weight must be above 0 and at most 1000"};
    }
    plan.weight = weight.get<double>();
  }
  if (object.contains("max_in_flight")) {
    const json& limit = object.at("max_in_flight");
    const bool valid = limit.is_number_integer() && limit.get<std::int64_t>() >= 1 &&
                       limit.get<std::int64_t>() <= kMaxInFlight;
    if (!valid) {
      throw InvalidDocument{subject + ": max_in_flight must be a whole number from 1 to 1000000"};
    }
    plan.max_in_flight = limit.get<std::size_t>();
  }
  if (object.contains("services")) {
    if (!object.at("services").is_array()) {
      throw InvalidDocument{subject + ": services must be a list"};
    }
    for (const json& each : object.at("services")) {
      const ServiceName service{each.is_string() ? each.get<std::string>() : ""};
      if (!services.contains(service)) {
        throw InvalidDocument{subject + ": service '" + service.value() + "' is not known"};
      }
      plan.services.insert(service);
    }
  }
  return plan;
}

}  // namespace

std::variant<PlansDocument, DocumentError> ParsePlans(const std::string& text,
                                                      const std::set<ServiceName>& services) {
  try {
    const json object = json::parse(text);
    RejectUnknownFields(object, {"plans"}, "the document");
    PlansDocument document;
    for (const auto& [name, plan] : object.at("plans").items()) {
      document.plans[PlanName{name}] = ParsePlan(name, plan, services);
    }
    return document;
  } catch (const InvalidDocument& invalid) {
    return DocumentError{invalid.message};
  } catch (const json::exception& error) {
    return DocumentError{error.what()};
  }
}

std::variant<CustomersDocument, DocumentError> ParseCustomers(const std::string& text) {
  try {
    const json object = json::parse(text);
    RejectUnknownFields(object, {"customers"}, "the document");
    CustomersDocument document;
    for (const auto& [name, plan] : object.at("customers").items()) {
      CheckNameLength(name, "customer");
      if (!plan.is_string()) {
        throw InvalidDocument{"customer '" + name + "': the plan must be a name"};
      }
      document.customers[CustomerName{name}] = PlanName{plan.get<std::string>()};
    }
    return document;
  } catch (const InvalidDocument& invalid) {
    return DocumentError{invalid.message};
  } catch (const json::exception& error) {
    return DocumentError{error.what()};
  }
}

std::string FindMissingPlan(const PlansDocument& plans, const CustomersDocument& customers) {
  for (const auto& [customer, plan] : customers.customers) {
    if (!plans.plans.contains(plan)) {
      return "customer '" + customer.value() + "' has plan '" + plan.value() +
             "', which does not exist";
    }
  }
  return {};
}

std::string FormatStoredDocument(const StoredDocument& document) {
  json history = json::array();
  for (const DocumentChange& change : document.history) {
    history.push_back({{"version", change.version},
                       {"change_id", change.change_id},
                       {"author", change.author},
                       {"at_ms", change.at_ms}});
  }
  return json{{"version", document.version},
              {"content", json::parse(document.content)},
              {"history", std::move(history)}}
      .dump();
}

std::variant<StoredDocument, DocumentError> ParseStoredDocument(const std::string& text) {
  if (text.empty()) {
    return StoredDocument{0, "{}", {}};
  }
  try {
    const json object = json::parse(text);
    StoredDocument document;
    document.version = object.at("version").get<std::uint64_t>();
    document.content = object.at("content").dump();
    for (const json& each : object.at("history")) {
      document.history.push_back(
          {each.at("version").get<std::uint64_t>(), each.at("change_id").get<std::string>(),
           each.at("author").get<std::string>(), each.at("at_ms").get<std::int64_t>()});
    }
    return document;
  } catch (const json::exception& error) {
    return DocumentError{error.what()};
  }
}

}  // namespace sycamorestall
