#include "core/route_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace sycamorestall {

RouteTable::RouteTable(RoutingConfig config) : config_(std::move(config)) {
  for (const Route& route : config_.routes) {
    by_host_[route.host].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
      return left->prefix.size() > right->prefix.size();
    });
  }
}

const Route* RouteTable::Find(std::string_view host, std::string_view path) const {
  const auto routes = by_host_.find(host);
  if (routes == by_host_.end()) {
    return nullptr;
  }
  for (const Route* route : routes->second) {
    if (path.starts_with(route->prefix)) {
      return route;
    }
  }
  return nullptr;
}

const ServiceName& RouteTable::SelectService(const Route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  std::vector<double>& current_weights = round_robin_states_[&route].current_weights;
  current_weights.resize(route.services.size());
  const double total =
      std::accumulate(route.services.begin(), route.services.end(), 0.0,
                      [](double sum, const WeightedService& each) { return sum + each.weight; });
  std::size_t best = 0;
  for (std::size_t i = 0; i < current_weights.size(); ++i) {
    current_weights[i] += route.services[i].weight;
    if (current_weights[i] > current_weights[best]) {
      best = i;
    }
  }
  current_weights[best] -= total;
  return route.services[best].service;
}

const ServiceConfig& RouteTable::ServiceConfigFor(const ServiceName& service) const {
  static const ServiceConfig kDefault;
  const auto found = config_.services.find(service);
  return found == config_.services.end() ? kDefault : found->second;
}

}  // namespace sycamorestall
