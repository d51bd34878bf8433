#include "router/record_codec.h"

#include <nlohmann/json.hpp>

namespace sycamorestall {

namespace {

using nlohmann::json;

json EncodeRange(const OwnedRange& range) {
  return {range.range.first, range.range.last, range.owner.value(), range.incarnation.value,
          range.token.value};
}

OwnedRange DecodeRange(const json& row) {
  OwnedRange range;
  range.range = {row.at(0).get<KeyNumber>(), row.at(1).get<KeyNumber>()};
  range.owner = InstanceId{row.at(2).get<std::string>()};
  range.incarnation = {row.at(3).get<std::uint64_t>()};
  range.token = {row.at(4).get<std::uint64_t>()};
  return range;
}

}  // namespace

std::string EncodeRecord(const OwnershipRecord& record) {
  json body{{"term", record.term.value},  {"leader", record.leader.value()},
            {"change", record.change_id}, {"highest", record.highest.value},
            {"ranges", json::array()},    {"addresses", json::object()}};
  for (const OwnedRange& range : record.ranges) {
    body["ranges"].push_back(EncodeRange(range));
  }
  for (const auto& [id, address] : record.addresses) {
    body["addresses"][id.value()] = {address.host, address.port};
  }
  return body.dump();
}

std::optional<OwnershipRecord> DecodeRecord(const std::string& text, std::string& problem) {
  try {
    const json body = json::parse(text);
    OwnershipRecord record;
    record.term = {body.at("term").get<std::uint64_t>()};
    record.leader = InstanceId{body.at("leader").get<std::string>()};
    record.change_id = body.at("change").get<std::string>();
    record.highest = {body.at("highest").get<std::uint64_t>()};
    for (const json& row : body.at("ranges")) {
      record.ranges.push_back(DecodeRange(row));
    }
    for (const auto& [id, row] : body.at("addresses").items()) {
      record.addresses[InstanceId{id}] = {row.at(0).get<std::string>(),
                                          row.at(1).get<std::uint16_t>()};
    }
    return record;
  } catch (const json::exception& error) {
    problem = error.what();
    return std::nullopt;
  }
}

}  // namespace sycamorestall
