#include "app/explain.h"

#include <nlohmann/json.hpp>

#include "app/daemon.h"
#include "clock/system_clock.h"

namespace sycamorestall {

namespace {

using nlohmann::json;

const char* DescribePhase(ShardPhase phase) {
  switch (phase) {
    case ShardPhase::kUnassigned:
      return "has never had an owner";
    case ShardPhase::kConfirming:
      return "waits for its owner to confirm the grant";
    case ShardPhase::kServing:
      return "served";
    case ShardPhase::kRevoking:
      return "is being given up by its owner";
    case ShardPhase::kReleased:
      return "waits for an endpoint that can take it";
    case ShardPhase::kRecording:
      return "waits for the store to record its next owner";
  }
  return "unknown";
}

std::int64_t ElapsedMilliseconds(Instant start) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(BootNow() - start).count();
}

// Returns why a shard stays with an owner that does not confirm its grant; empty when
// the owner answers.
std::string HoldReason(const GroupLeader& leader, const ShardRow& shard) {
  if (shard.phase != ShardPhase::kConfirming || !shard.owner) {
    return {};
  }
  const auto row = leader.endpoints().find(shard.owner->endpoint);
  if (row == leader.endpoints().end() || row->second.failures == 0) {
    return {};
  }
  if (!row->second.fenced) {
    return "the owner cannot be reached and may still be served by an earlier leader";
  }
  return "the owner cannot be reached and its lease has not run out";
}

json DescribeGroup(const GroupRunner& runner, Instant now) {
  const GroupLeader& leader = runner.leader();
  json group{{"group", ToString(leader.settings().group)},
             {"term", leader.term().value},
             {"shards", leader.shards().size()},
             {"unserved", leader.UnservedCount(now)},
             {"moves", leader.moves()},
             {"imbalance", leader.Imbalance(now)},
             {"waiting", runner.waiting()},
             {"running", runner.running()},
             {"earlier_leaders_uncleared", leader.record().earlier_leaders.size()}};
  json endpoints = json::array();
  for (const auto& [id, row] : leader.endpoints()) {
    endpoints.push_back({{"endpoint", id.value()},
                         {"listed", row.listed},
                         {"leaving", row.leaving},
                         {"failures", row.failures},
                         {"holds", row.held.size()}});
  }
  group["endpoints"] = std::move(endpoints);
  return group;
}

}  // namespace

std::string DescribeKey(const Daemon& daemon, const GroupId& group, ShardId shard,
                        const std::string& key) {
  json answer{{"key", key},
              {"service", group.service.value()},
              {"shard", shard.value},
              {"group", ToString(group)},
              {"told_by", daemon.settings().instance.value()}};
  const LeaderNotice* notice = daemon.leadership().Find(group);
  if (notice != nullptr) {
    answer["leader"] = notice->leader.instance.value();
    answer["term"] = notice->term.value;
  }
  const GroupRunner& runner = *daemon.runners().at(group);
  const auto& shards = runner.leader().shards();
  const auto row = shards.find(shard);
  if (!runner.leads() || row == shards.end()) {
    answer["state"] = "this daemon does not lead the group and could not ask its leader";
    return answer.dump(2, ' ', false, json::error_handler_t::replace);
  }
  answer["state"] = DescribePhase(row->second.phase);
  answer["for_ms"] = ElapsedMilliseconds(row->second.since);
  answer["requests_counted"] = row->second.demand;
  if (row->second.owner) {
    answer["owner"] = row->second.owner->endpoint.value();
    answer["epoch"] = row->second.owner->epoch.value;
  }
  const std::string hold_reason = HoldReason(runner.leader(), row->second);
  if (!hold_reason.empty()) {
    answer["held_because"] = hold_reason;
  }
  return answer.dump(2, ' ', false, json::error_handler_t::replace);
}

std::string DescribeDaemon(Daemon& daemon) {
  const Instant now = BootNow();
  const ConfigVersions own_versions = daemon.config().versions();
  json answer{{"instance", daemon.settings().instance.value()},
              {"domain", daemon.settings().domain.value()},
              {"ready", daemon.ready()},
              {"leaving", daemon.draining()},
              {"requests_open", daemon.ingress().open_count()},
              {"plans_version", own_versions.plans},
              {"customers_version", own_versions.customers}};
  json members = json::array();
  const auto& versions = daemon.membership().config_versions();
  for (const Member& member : daemon.membership().AliveMembers()) {
    json entry{{"instance", member.process.instance.value()},
               {"domain", member.domain.value()},
               {"suspect", member.state == MemberState::kSuspect}};
    const auto found = versions.find(member.process.instance);
    const bool is_self = member.process == daemon.self();
    if (is_self || found != versions.end()) {
      const ConfigVersions& member_versions = is_self ? own_versions : found->second;
      entry["plans_version"] = member_versions.plans;
      entry["customers_version"] = member_versions.customers;
    }
    members.push_back(std::move(entry));
  }
  answer["daemons"] = std::move(members);
  json led_groups = json::array();
  json leaders = json::object();
  for (const auto& [group, runner] : daemon.runners()) {
    if (runner->leads()) {
      led_groups.push_back(DescribeGroup(*runner, now));
    }
    const LeaderNotice* notice = daemon.leadership().Find(group);
    leaders[ToString(group)] = notice == nullptr ? "" : notice->leader.instance.value();
  }
  answer["leads"] = std::move(led_groups);
  answer["leaders"] = std::move(leaders);
  return answer.dump(2, ' ', false, json::error_handler_t::replace);
}

}  // namespace sycamorestall
