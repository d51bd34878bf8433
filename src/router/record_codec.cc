#include "router/record_codec.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>

namespace sycamorestall {

namespace {

using nlohmann::json;

constexpr KeyNumber kKeysPerPiece = kKeyCount / kRecordPieces;

std::uint64_t Hash(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

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

std::string EncodePiece(const OwnershipRecord& record, std::size_t number) {
  json body{{"ranges", json::array()}, {"addresses", json::object()}};
  for (const OwnedRange& range : record.ranges) {
    if (range.range.first / kKeysPerPiece != number) {
      continue;
    }
    body["ranges"].push_back(EncodeRange(range));
    const auto address = record.addresses.find(range.owner);
    if (address != record.addresses.end()) {
      body["addresses"][range.owner.value()] = {address->second.host, address->second.port};
    }
  }
  return body.dump();
}

void DecodePiece(const std::string& text, OwnershipRecord& record) {
  const json body = json::parse(text);
  for (const json& row : body.at("ranges")) {
    record.ranges.push_back(DecodeRange(row));
  }
  for (const auto& [id, row] : body.at("addresses").items()) {
    record.addresses[InstanceId{id}] = {row.at(0).get<std::string>(),
                                        row.at(1).get<std::uint16_t>()};
  }
}

}  // namespace

RecordTexts EncodeRecord(const OwnershipRecord& record) {
  RecordTexts texts;
  json hashes = json::array();
  for (std::size_t i = 0; i < kRecordPieces; ++i) {
    texts.pieces[i] = EncodePiece(record, i);
    hashes.push_back(Hash(texts.pieces[i]));
  }
  texts.head = json{{"term", record.term.value},
                    {"leader", record.leader.value()},
                    {"change", record.change_id},
                    {"highest", record.highest_token.value},
                    {"pieces", std::move(hashes)}}
                   .dump();
  return texts;
}

std::optional<OwnershipRecord> DecodeRecord(const RecordTexts& texts, std::string& problem) {
  try {
    const json head = json::parse(texts.head);
    OwnershipRecord record;
    record.term = {head.at("term").get<std::uint64_t>()};
    record.leader = InstanceId{head.at("leader").get<std::string>()};
    record.change_id = head.at("change").get<std::string>();
    record.highest_token = {head.at("highest").get<std::uint64_t>()};
    for (std::size_t i = 0; i < kRecordPieces; ++i) {
      if (head.at("pieces").at(i).get<std::uint64_t>() != Hash(texts.pieces[i])) {
        problem = "piece " + std::to_string(i) + " is of another change";
        return std::nullopt;
      }
      DecodePiece(texts.pieces[i], record);
    }
    return record;
  } catch (const json::exception& error) {
    problem = error.what();
    return std::nullopt;
  }
}

}  // namespace sycamorestall
