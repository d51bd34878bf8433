#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "core/identifiers.h"

namespace sycamorestall {

// What a plan may use. An empty set of services means all of them.
struct Plan {
  // Share within a rank, relative to other plans; greater than 0.
  double weight = 1;
  // Requests of one customer in flight at one daemon.
  std::size_t max_in_flight = 100;
  std::set<ServiceName> services;

  friend bool operator==(const Plan&, const Plan&) = default;
};

// The operators' list of plans at one version.
struct PlansDocument {
  std::uint64_t version = 0;
  std::map<PlanName, Plan> plans;

  friend bool operator==(const PlansDocument&, const PlansDocument&) = default;
};

// The operators' list of customers at one version.
struct CustomersDocument {
  std::uint64_t version = 0;
  std::map<CustomerName, PlanName> customers;

  friend bool operator==(const CustomersDocument&, const CustomersDocument&) = default;
};

// Both lists, as a daemon has them in force.
struct PlanBook {
  PlansDocument plans;
  CustomersDocument customers;

  // The plan of a customer; null when the customer or its plan is unknown.
  const Plan* Find(const CustomerName& customer) const {
    const auto entry = customers.customers.find(customer);
    if (entry == customers.customers.end()) {
      return nullptr;
    }
    const auto plan = plans.plans.find(entry->second);
    return plan == plans.plans.end() ? nullptr : &plan->second;
  }

  friend bool operator==(const PlanBook&, const PlanBook&) = default;
};

}  // namespace sycamorestall
