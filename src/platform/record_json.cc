#include "platform/record_json.h"

#include <map>
#include <nlohmann/json.hpp>
#include <vector>

namespace sycamorestall {

namespace {

using nlohmann::json;

json FormatProcess(const ProcessId& process) {
  return json::array({process.instance.value(), process.incarnation.value});
}

ProcessId ParseProcess(const json& array) {
  return {InstanceId{array.at(0).get<std::string>()},
          Incarnation{array.at(1).get<std::uint64_t>()}};
}

}  // namespace

std::string RecordKey(const GroupId& group) {
  return "groups/" + group.service.value() + "/" + group.domain.value();
}

std::string FormatRecord(const GroupRecord& record) {
  // Each endpoint is named once and shards refer to it by index, because a record with many shards
  // has to fit into one value of the store.
  std::map<InstanceId, std::size_t> endpoint_indexes;
  json endpoints = json::array();
  json shards = json::array();
  for (const auto& [shard, assignment] : record.shards) {
    const auto [index, added] = endpoint_indexes.emplace(assignment.endpoint, endpoints.size());
    if (added) {
      endpoints.push_back(assignment.endpoint.value());
    }
    shards.push_back({shard.value, index->second, assignment.epoch.value});
  }
  json earlier_leaders_json = json::array();
  for (const ProcessId& process : record.earlier_leaders) {
    earlier_leaders_json.push_back(FormatProcess(process));
  }
  return json{{"service", record.group.service.value()},
              {"domain", record.group.domain.value()},
              {"term", record.term.value},
              {"leader", FormatProcess(record.leader)},
              {"change_id", record.change_id},
              {"earlier_leaders", std::move(earlier_leaders_json)},
              {"endpoints", std::move(endpoints)},
              {"shards", std::move(shards)}}
      .dump();
}

std::optional<GroupRecord> ParseRecord(const std::string& text) {
  try {
    const json object = json::parse(text);
    GroupRecord record;
    record.group = {ServiceName{object.at("service").get<std::string>()},
                    DomainName{object.at("domain").get<std::string>()}};
    record.term.value = object.at("term").get<std::uint64_t>();
    record.leader = ParseProcess(object.at("leader"));
    record.change_id = object.at("change_id").get<std::string>();
    for (const json& each : object.at("earlier_leaders")) {
      record.earlier_leaders.push_back(ParseProcess(each));
    }
    const json& endpoints = object.at("endpoints");
    for (const json& each : object.at("shards")) {
      const std::string name = endpoints.at(each.at(1).get<std::size_t>()).get<std::string>();
      record.shards[ShardId{each.at(0).get<std::uint32_t>()}] =
          Assignment{InstanceId{name}, Epoch{each.at(2).get<std::uint64_t>()}};
    }
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<InstanceList> ParseInstances(const std::string& text) {
  try {
    const json object = json::parse(text);
    InstanceList list;
    list.revision = object.at("revision").get<std::uint64_t>();
    for (const json& each : object.at("instances")) {
      Instance instance;
      instance.id = InstanceId{each.at("id").get<std::string>()};
      instance.domain = DomainName{each.at("domain").get<std::string>()};
      instance.service = ServiceName{each.value("service", std::string{})};
      instance.address = each.at("address").get<std::string>();
      const bool is_leaving = each.value("state", std::string{"live"}) == "leaving";
      instance.state = is_leaving ? InstanceState::kLeaving : InstanceState::kLive;
      list.instances.push_back(std::move(instance));
    }
    return list;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string FormatInstances(const InstanceList& list) {
  json instances = json::array();
  for (const Instance& instance : list.instances) {
    instances.push_back({{"id", instance.id.value()},
                         {"domain", instance.domain.value()},
                         {"service", instance.service.value()},
                         {"address", instance.address},
                         {"state", instance.state == InstanceState::kLive ? "live" : "leaving"}});
  }
  return json{{"revision", list.revision}, {"instances", std::move(instances)}}.dump();
}

}  // namespace sycamorestall
