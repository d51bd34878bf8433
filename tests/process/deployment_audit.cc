#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "process/deployment.h"

namespace sycamorestall::testing {

namespace {

// A period in which an endpoint owned a shard, from its journal. Times are nanoseconds of
// the boot clock.
struct OwnershipPeriod {
  std::string endpoint;
  std::int64_t from = 0;
  std::int64_t until = 0;
};

}  // namespace

std::string Deployment::FindInvariantViolation() const {
  std::map<std::string, int> run_counts;
  std::map<std::pair<std::string, std::uint32_t>, std::vector<OwnershipPeriod>> periods;
  for (const auto& [name, process] : processes_) {
    std::ifstream journal(directory_ + "/" + name + ".journal");
    std::map<std::tuple<std::uint32_t, std::uint64_t, std::int64_t>, std::int64_t> owned_until;
    std::string kind;
    while (journal >> kind) {
      if (kind == "run") {
        std::string command;
        journal >> command;
        if (++run_counts[command] > 1) {
          return "command " + command + " ran twice";
        }
      } else if (kind == "own") {
        std::uint32_t shard = 0;
        std::uint64_t epoch = 0;
        std::int64_t from = 0;
        std::int64_t until = 0;
        journal >> shard >> epoch >> from >> until;
        owned_until[{shard, epoch, from}] = until;
      } else {
        std::uint32_t shard = 0;
        std::int64_t released_at = 0;
        journal >> shard >> released_at;
        for (auto& [key, until] : owned_until) {
          if (std::get<0>(key) == shard) {
            until = std::min(until, released_at);
          }
        }
      }
    }
    for (const auto& [key, until] : owned_until) {
      periods[{process.service, std::get<0>(key)}].push_back({name, std::get<2>(key), until});
    }
  }
  for (auto& [shard, shard_periods] : periods) {
    for (const OwnershipPeriod& first_owner : shard_periods) {
      for (const OwnershipPeriod& second_owner : shard_periods) {
        const bool overlap = first_owner.endpoint < second_owner.endpoint &&
                             first_owner.from < second_owner.until &&
                             second_owner.from < first_owner.until;
        if (overlap) {
          return shard.first + " shard " + std::to_string(shard.second) + " was owned by " +
                 first_owner.endpoint + " and " + second_owner.endpoint;
        }
      }
    }
  }
  return {};
}

std::string Deployment::FindFalseOutcome(const fakes::CallerReport& report) const {
  std::set<std::string> executed;
  for (const auto& [name, process] : processes_) {
    std::ifstream journal(directory_ + "/" + name + ".journal");
    std::string line;
    while (std::getline(journal, line)) {
      if (line.starts_with("run ")) {
        executed.insert(line.substr(4));
      }
    }
  }
  for (const std::string& command : report.commands_run) {
    if (!executed.contains(command)) {
      return "command " + command + " was reported as run but did not run";
    }
  }
  for (const std::string& command : report.commands_not_run) {
    if (executed.contains(command)) {
      return "command " + command + " was reported as not run but ran";
    }
  }
  return {};
}

}  // namespace sycamorestall::testing
