#pragma once

#include <array>
#include <optional>
#include <string>

#include "core/ownership_record.h"

namespace sycamorestall {

// The number of pieces into which the ranges of a record are split by their first key,
// so that a move rewrites only a few pieces.
inline constexpr std::size_t kRecordPieces = 16;

// A record in the format of the store: a head with the leader and its term, and the
// pieces. The head holds the hash of each piece, so that pieces of another write are
// detected.
struct EncodedRecord {
  std::string head;
  std::array<std::string, kRecordPieces> pieces;

  friend bool operator==(const EncodedRecord&, const EncodedRecord&) = default;
};

// Encodes a record for the store.
EncodedRecord EncodeRecord(const OwnershipRecord& record);
// Decodes a record; empty, with the reason, if it is malformed or its pieces do not
// match the head.
std::optional<OwnershipRecord> DecodeRecord(const EncodedRecord& encoded, std::string& reason);

}  // namespace sycamorestall
