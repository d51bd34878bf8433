#include "router/record_codec.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "config/json_field.h"

namespace sycamorestall {

namespace {

using nlohmann::json;

constexpr KeyNumber kKeysPerPiece = kKeyCount / kRecordPieces;

std::uint64_t HashPiece(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

json EncodeRange(const OwnedRange& range) {
  return {range.range.first, range.range.last, range.owner.value(), range.incarnation.value,
          range.token.value};
}

OwnedRange DecodeRange(const json& element) {
  OwnedRange range;
  const std::int64_t last = ParseWholeNumber(element.at(1), 0, kKeyCount - 1);
  const std::int64_t first = ParseWholeNumber(element.at(0), 0, last);
  range.range = {static_cast<KeyNumber>(first), static_cast<KeyNumber>(last)};
  range.owner = InstanceId{element.at(2).get<std::string>()};
  range.incarnation = {element.at(3).get<std::uint64_t>()};
  range.token = {element.at(4).get<std::uint64_t>()};
  return range;
}

std::chrono::milliseconds DecodeTime(const json& head, const char* field) {
  constexpr std::int64_t kMaxTimeMs = 3'600'000;
  return std::chrono::milliseconds{ParseOptionalWholeNumber(head, field, 0, 0, kMaxTimeMs)};
}

std::string EncodePiece(const OwnershipRecord& record, std::size_t piece_index) {
  json body{{"ranges", json::array()}, {"addresses", json::object()}};
  for (const OwnedRange& range : record.ranges) {
    if (range.range.first / kKeysPerPiece != piece_index) {
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
  for (const json& element : body.at("ranges")) {
    record.ranges.push_back(DecodeRange(element));
  }
  for (const auto& [id, element] : body.at("addresses").items()) {
    record.addresses[InstanceId{id}] = {element.at(0).get<std::string>(),
                                        element.at(1).get<std::uint16_t>()};
  }
}

// Whether each key is in one range at the most; the ranges need not be sorted.
bool AreDisjoint(std::vector<OwnedRange> ranges) {
  std::sort(ranges.begin(), ranges.end(), [](const OwnedRange& left, const OwnedRange& right) {
    return left.range < right.range;
  });
  return std::adjacent_find(ranges.begin(), ranges.end(),
                            [](const OwnedRange& left, const OwnedRange& right) {
                              return left.range.Overlaps(right.range);
                            }) == ranges.end();
}

}  // namespace

EncodedRecord EncodeRecord(const OwnershipRecord& record) {
  EncodedRecord encoded;
  json hashes = json::array();
  for (std::size_t i = 0; i < kRecordPieces; ++i) {
    encoded.pieces[i] = EncodePiece(record, i);
    hashes.push_back(HashPiece(encoded.pieces[i]));
  }
  encoded.head = json{{"term", record.term.value},
                      {"leader", record.leader.value()},
                      {"change", record.change_id},
                      {"era", record.era.value},
                      {"earlier_leaders_ms", record.earlier_leaders_time.count()},
                      {"lost_changes_ms", record.lost_changes_time.count()},
                      {"lacks_changes", record.lacks_changes},
                      {"highest", record.highest_token.value},
                      {"pieces", std::move(hashes)}}
                     .dump();
  return encoded;
}

std::optional<OwnershipRecord> DecodeRecord(const EncodedRecord& encoded, std::string& reason) {
  try {
    const json head = json::parse(encoded.head);
    OwnershipRecord record;
    record.term = {head.at("term").get<std::uint64_t>()};
    record.leader = InstanceId{head.at("leader").get<std::string>()};
    record.change_id = head.at("change").get<std::string>();
    // Earlier versions do not write these.
    record.era = {head.value("era", std::uint64_t{0})};
    record.earlier_leaders_time = DecodeTime(head, "earlier_leaders_ms");
    record.lost_changes_time = DecodeTime(head, "lost_changes_ms");
    record.lacks_changes = head.value("lacks_changes", false);
    record.highest_token = {head.at("highest").get<std::uint64_t>()};
    for (std::size_t i = 0; i < kRecordPieces; ++i) {
      if (head.at("pieces").at(i).get<std::uint64_t>() != HashPiece(encoded.pieces[i])) {
        reason = "piece " + std::to_string(i) + " is of another change";
        return std::nullopt;
      }
      DecodePiece(encoded.pieces[i], record);
    }
    if (!AreDisjoint(record.ranges)) {
      reason = "ranges overlap";
      return std::nullopt;
    }
    return record;
  } catch (const std::exception& error) {
    reason = error.what();
    return std::nullopt;
  }
}

}  // namespace sycamorestall
