#include "endpoint/order_json.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace sycamorestall {

namespace {

using nlohmann::json;

json WriteGrants(const std::vector<ShardGrant>& grants) {
  json array = json::array();
  for (const ShardGrant& grant : grants) {
    array.push_back({grant.shard.value, grant.epoch.value});
  }
  return array;
}

std::vector<ShardGrant> ReadGrants(const json& array) {
  std::vector<ShardGrant> grants;
  for (const json& each : array) {
    grants.push_back(
        {ShardId{each.at(0).get<std::uint32_t>()}, Epoch{each.at(1).get<std::uint64_t>()}});
  }
  return grants;
}

json WriteShards(const std::vector<ShardId>& shards) {
  json array = json::array();
  for (const ShardId shard : shards) {
    array.push_back(shard.value);
  }
  return array;
}

std::vector<ShardId> ReadShards(const json& array) {
  std::vector<ShardId> shards;
  for (const json& each : array) {
    shards.push_back(ShardId{each.get<std::uint32_t>()});
  }
  return shards;
}

json WriteStamp(const EndpointStamp& stamp) {
  return {{"incarnation", stamp.incarnation.value}, {"clock_ns", stamp.clock_ns}};
}

EndpointStamp ReadStamp(const json& object) {
  return {Incarnation{object.at("incarnation").get<std::uint64_t>()},
          object.at("clock_ns").get<std::int64_t>()};
}

}  // namespace

std::string WriteOrder(const EndpointOrder& order) {
  json object{{"service", order.group.service.value()},
              {"domain", order.group.domain.value()},
              {"leader", order.leader.instance.value()},
              {"leader_incarnation", order.leader.incarnation.value},
              {"term", order.term.value},
              {"sequence", order.sequence},
              {"time_to_live_ms", order.time_to_live.count()},
              {"grants", WriteGrants(order.grants)},
              {"revocations", WriteShards(order.revocations)}};
  if (order.stamp) {
    object["stamp"] = WriteStamp(*order.stamp);
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
    order.grants = ReadGrants(object.at("grants"));
    order.revocations = ReadShards(object.at("revocations"));
    if (object.contains("stamp")) {
      order.stamp = ReadStamp(object.at("stamp"));
    }
    return order;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string WriteReply(const EndpointReply& reply) {
  return json{{"verdict", static_cast<int>(reply.outcome)}, {"term", reply.term.value},
              {"stamp", WriteStamp(reply.stamp)},           {"held", WriteGrants(reply.held)},
              {"draining", WriteShards(reply.draining)},    {"leaving", reply.leaving}}
      .dump();
}

std::optional<EndpointReply> ParseReply(const std::string& text) {
  try {
    const json object = json::parse(text);
    const int verdict = object.at("verdict").get<int>();
    if (verdict < 0 || verdict > static_cast<int>(OrderOutcome::kStaleStamp)) {
      return std::nullopt;
    }
    EndpointReply reply;
    reply.outcome = static_cast<OrderOutcome>(verdict);
    reply.term.value = object.at("term").get<std::uint64_t>();
    reply.stamp = ReadStamp(object.at("stamp"));
    reply.held = ReadGrants(object.at("held"));
    reply.draining = ReadShards(object.at("draining"));
    reply.leaving = object.at("leaving").get<bool>();
    return reply;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace sycamorestall
