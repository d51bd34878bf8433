#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/routing_config.h"

namespace sycamorestall {

// Finds the route of a request and distributes a route's requests over its
// services. A table holds one version of the configuration.
class RouteTable {
 public:
  explicit RouteTable(RoutingConfig config);

  // Returns the host's route with the longest prefix that matches the path, or null
  // if none matches.
  const Route* Find(std::string_view host, std::string_view path) const;
  // Selects the service for the route's next request by smooth weighted round
  // robin, which keeps to the weights over short sequences as well.
  const ServiceName& SelectService(const Route& route);
  // Returns defaults if the service is not configured.
  const ServiceConfig& ServiceConfigFor(const ServiceName& service) const;

  const RoutingConfig& config() const { return config_; }

 private:
  struct RoundRobinState {
    std::vector<double> current_weights;
  };

  RoutingConfig config_;
  // Routes by host, sorted by descending length of the prefix.
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host_;
  std::map<const Route*, RoundRobinState> round_robin_states_;
};

}  // namespace sycamorestall
