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

// One stretch of ownership in a journal.
struct Stretch {
  std::string endpoint;
  std::int64_t from = 0;
  std::int64_t until = 0;
};

}  // namespace

std::string Deployment::FindViolation() const {
  std::map<std::string, int> runs;
  std::map<std::pair<std::string, std::uint32_t>, std::vector<Stretch>> stretches;
  for (const auto& [name, process] : processes_) {
    std::ifstream journal(folder_ + "/" + name + ".journal");
    std::map<std::tuple<std::uint32_t, std::uint64_t, std::int64_t>, std::int64_t> own;
    std::string kind;
    while (journal >> kind) {
      if (kind == "run") {
        std::string command;
        journal >> command;
        if (++runs[command] > 1) {
          return "command " + command + " ran twice";
        }
      } else if (kind == "own") {
        std::uint32_t shard = 0;
        std::uint64_t epoch = 0;
        std::int64_t from = 0;
        std::int64_t until = 0;
        journal >> shard >> epoch >> from >> until;
        own[{shard, epoch, from}] = until;
      } else {
        std::uint32_t shard = 0;
        std::int64_t at = 0;
        journal >> shard >> at;
        for (auto& [key, until] : own) {
          if (std::get<0>(key) == shard) {
            until = std::min(until, at);
          }
        }
      }
    }
    for (const auto& [key, until] : own) {
      stretches[{process.service, std::get<0>(key)}].push_back({name, std::get<2>(key), until});
    }
  }
  for (auto& [shard, list] : stretches) {
    for (const Stretch& a : list) {
      for (const Stretch& b : list) {
        const bool overlap = a.endpoint < b.endpoint && a.from < b.until && b.from < a.until;
        if (overlap) {
          return shard.first + " shard " + std::to_string(shard.second) + " was owned by " +
                 a.endpoint + " and " + b.endpoint;
        }
      }
    }
  }
  return {};
}

std::string Deployment::FindLie(const fakes::CallerReport& report) const {
  std::set<std::string> ran;
  for (const auto& [name, process] : processes_) {
    std::ifstream journal(folder_ + "/" + name + ".journal");
    std::string line;
    while (std::getline(journal, line)) {
      if (line.starts_with("run ")) {
        ran.insert(line.substr(4));
      }
    }
  }
  for (const std::string& command : report.commands_run) {
    if (!ran.contains(command)) {
      return "command " + command + " was said to be run and was not";
    }
  }
  for (const std::string& command : report.commands_not_run) {
    if (ran.contains(command)) {
      return "command " + command + " was said not to be run and was";
    }
  }
  return {};
}

}  // namespace sycamorestall::testing
