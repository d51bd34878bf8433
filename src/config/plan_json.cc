#include "config/plan_json.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sycamorestall {

namespace {

using nlohmann::json;

constexpr double kMostWeight = 1000;
constexpr std::int64_t kMostInFlight = 1'000'000;
constexpr std::size_t kLongestName = 128;

// Thrown inside the parser only, and turned into its result.
struct Refusal {
  std::string message;
};

void CheckFields(const json& object, const std::set<std::string>& known, const std::string& what) {
  if (!object.is_object()) {
    throw Refusal{what + " must be an object"};
  }
  for (const auto& [name, value] : object.items()) {
    if (!known.contains(name)) {
      throw Refusal{std::string(what).append(" has an unknown field '").append(name).append("'")};
    }
  }
}

void CheckName(const std::string& name, const std::string& what) {
  if (name.empty() || name.size() > kLongestName) {
    throw Refusal{what + " '" + name + "' must be 1 to 128 bytes long"};
  }
}

Plan ReadPlan(const std::string& name, const json& object, const std::set<ServiceName>& services) {
  const std::string what = "plan '" + name + "'";
  CheckName(name, "plan");
  CheckFields(object, {"weight", "max_in_flight", "services"}, what);
  Plan plan;
  if (object.contains("weight")) {
    const json& weight = object.at("weight");
    if (!weight.is_number() || weight.get<double>() <= 0 || weight.get<double>() > kMostWeight) {
      throw Refusal{what + ": weight must be above 0 and at most 1000"};
    }
    plan.weight = weight.get<double>();
  }
  if (object.contains("max_in_flight")) {
    const json& most = object.at("max_in_flight");
    const bool fits = most.is_number_integer() && most.get<std::int64_t>() >= 1 &&
                      most.get<std::int64_t>() <= kMostInFlight;
    if (!fits) {
      throw Refusal{what + ": max_in_flight must be a whole number from 1 to 1000000"};
    }
    plan.max_in_flight = most.get<std::size_t>();
  }
  if (object.contains("services")) {
    if (!object.at("services").is_array()) {
      throw Refusal{what + ": services must be a list"};
    }
    for (const json& each : object.at("services")) {
      const ServiceName service{each.is_string() ? each.get<std::string>() : ""};
      if (!services.contains(service)) {
        throw Refusal{what + ": service '" + service.value() + "' is not known"};
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
    CheckFields(object, {"plans"}, "the document");
    PlansDocument document;
    for (const auto& [name, plan] : object.at("plans").items()) {
      document.plans[PlanName{name}] = ReadPlan(name, plan, services);
    }
    return document;
  } catch (const Refusal& refusal) {
    return DocumentError{refusal.message};
  } catch (const json::exception& error) {
    return DocumentError{error.what()};
  }
}

std::variant<CustomersDocument, DocumentError> ParseCustomers(const std::string& text) {
  try {
    const json object = json::parse(text);
    CheckFields(object, {"customers"}, "the document");
    CustomersDocument document;
    for (const auto& [name, plan] : object.at("customers").items()) {
      CheckName(name, "customer");
      if (!plan.is_string()) {
        throw Refusal{"customer '" + name + "': the plan must be a name"};
      }
      document.customers[CustomerName{name}] = PlanName{plan.get<std::string>()};
    }
    return document;
  } catch (const Refusal& refusal) {
    return DocumentError{refusal.message};
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

std::string WriteStoredDocument(const StoredDocument& document) {
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
