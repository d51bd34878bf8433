#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/routing_config.h"

namespace sycamorestall {

// Finds the route of a request, and spreads requests over the services of a
// route. One table holds one version of the configuration.
class RouteTable {
 public:
  explicit RouteTable(RoutingConfig config);

  // The route with the longest prefix of the path among those of the host; null
  // when there is none.
  const Route* Find(std::string_view host, std::string_view path) const;
  // The service that takes the route's next request, by weight. The order is
  // fixed, so that shares are met over short spans as well.
  const ServiceName& NextService(const Route& route);
  // What is known of a service; empty defaults when the configuration has none.
  const ServiceProfile& Profile(const ServiceName& service) const;

  const RoutingConfig& config() const { return config_; }

 private:
  struct Split {
    std::vector<double> credit;
  };

  RoutingConfig config_;
  // By host; each host's routes have the longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host_;
  std::map<const Route*, Split> splits_;
};

}  // namespace sycamorestall
