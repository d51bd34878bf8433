#include "endpoint/order_json.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace sycamorestall {

namespace {

using nlohmann::json;

json FormatGrants(const std::vector<ShardGrant>& grants) {
  json array = json::array();
  for (const ShardGrant& grant : grants) {
    array.push_back({grant.shard.value, grant.epoch.value});
  }
  return array;
}

std::vector<ShardGrant> ParseGrants(const json& array) {
  std::vector<ShardGrant> grants;
  for (const json& each : array) {
    grants.push_back(
        {ShardId{each.at(0).get<std::uint32_t>()}, Epoch{each.at(1).get<std::uint64_t>()}});
  }
  return grants;
}

json FormatShards(const std::vector<ShardId>& shards) {
  json array = json::array();
  for (const ShardId shard : shards) {
    array.push_back(shard.value);
  }
  return array;
}

std::vector<ShardId> ParseShards(const json& array) {
  std::vector<ShardId> shards;
  for (const json& each : array) {
    shards.push_back(ShardId{each.get<std::uint32_t>()});
  }
  return shards;
}

json FormatStamp(const EndpointStamp& stamp) {
  return {{"incarnation", stamp.incarnation.value}, {"clock_ns", stamp.clock_ns}};
}

EndpointStamp ParseStamp(const json& object) {
  return {Incarnation{object.at("incarnation").get<std::uint64_t>()},
          object.at("clock_ns").get<std::int64_t>()};
}

}  // namespace

std::string FormatOrder(const EndpointOrder& order) {
  json object{{"service", order.group.service.value()},
              {"domain", order.group.domain.value()},
              {"leader", order.leader.instance.value()},
              {"leader_incarnation", order.leader.incarnation.value},
              {"term", order.term.value},
              {"sequence", order.sequence},
              {"time_to_live_ms", order.time_to_live.count()},
              {"grants", FormatGrants(order.grants)},
              {"revocations", FormatShards(order.revocations)}};
  if (order.stamp) {
    object["stamp"] = FormatStamp(*order.stamp);
  }
  return object.dump();
}

std::optional<EndpointOrder> ParseOrder(const std::string& text) {
  try {
    const json object = json::parse(text);
    EndpointOrder order;
    order.group = {ServiceName{object.at("service").get<std::string>()},
                   DomainName{object.at("domain").get<std::string>()}};
    order.leader = {InstanceId{object.at("leader").get<std::string>()},
                    Incarnation{object.at("leader_incarnation").get<std::uint64_t>()}};
    order.term.value = object.at("term").get<std::uint64_t>();
    order.sequence = object.at("sequence").get<std::uint64_t>();
    order.time_to_live =
        std::chrono::milliseconds{object.at("time_to_live_ms").get<std::int64_t>()};
    order.grants = ParseGrants(object.at("grants"));
    order.revocations = ParseShards(object.at("revocations"));
    if (object.contains("stamp")) {
      order.stamp = ParseStamp(object.at("stamp"));
    }
    return order;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string FormatReply(const EndpointReply& reply) {
  return json{{"verdict", static_cast<int>(reply.outcome)},
              {"term", reply.term.value},
              {"stamp", FormatStamp(reply.stamp)},
              {"held", FormatGrants(reply.held)},
              {"draining", FormatShards(reply.draining_shards)},
              {"leaving", reply.leaving}}
      .dump();
}

std::optional<EndpointReply> ParseReply(const std::string& text) {
  try {
    const json object = json::parse(text);
    const int outcome_value = object.at("verdict").get<int>();
    if (outcome_value < 0 || outcome_value > static_cast<int>(OrderOutcome::kStaleStamp)) {
      return std::nullopt;
    }
    EndpointReply reply;
    reply.outcome = static_cast<OrderOutcome>(outcome_value);
    reply.term.value = object.at("term").get<std::uint64_t>();
    reply.stamp = ParseStamp(object.at("stamp"));
    reply.held = ParseGrants(object.at("held"));
    reply.draining_shards = ParseShards(object.at("draining"));
    reply.leaving = object.at("leaving").get<bool>();
    return reply;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace sycamorestall
