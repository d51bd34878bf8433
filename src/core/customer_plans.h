#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "core/identifiers.h"

namespace sycamorestall {

// Limits and services of a plan. An empty set of services means all services.
struct Plan {
  // Weight within a rank relative to other plans; greater than 0.
  double weight = 1;
  // Maximum number of requests of one customer in flight at one daemon.
  std::size_t max_in_flight = 100;
  std::set<ServiceName> services;

  friend bool operator==(const Plan&, const Plan&) = default;
};

// A version of the operators' list of plans.
struct PlansDocument {
  std::uint64_t version = 0;
  std::map<PlanName, Plan> plans;

  friend bool operator==(const PlansDocument&, const PlansDocument&) = default;
};

// A version of the operators' list of customers and their plans.
struct CustomersDocument {
  std::uint64_t version = 0;
  std::map<CustomerName, PlanName> customers;

  friend bool operator==(const CustomersDocument&, const CustomersDocument&) = default;
};

// The versions of both lists that are in force at a daemon.
struct CustomerPlans {
  PlansDocument plans;
  CustomersDocument customers;

  // Returns a customer's plan, or null if the customer or its plan is unknown.
  const Plan* FindPlan(const CustomerName& customer) const {
    const auto entry = customers.customers.find(customer);
    if (entry == customers.customers.end()) {
      return nullptr;
    }
    const auto plan = plans.plans.find(entry->second);
    return plan == plans.plans.end() ? nullptr : &plan->second;
  }

  friend bool operator==(const CustomerPlans&, const CustomerPlans&) = default;
};

}  // namespace sycamorestall
