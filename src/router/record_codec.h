#pragma once

#include <array>
#include <optional>
#include <string>

#include "core/ownership_record.h"

namespace sycamorestall {

// The store keeps the ranges of a record in so many pieces, each with the ranges
// that begin in its part of all keys, so that a move writes a few of them only.
inline constexpr std::size_t kRecordPieces = 16;

// A record as the store keeps it: a head, which tells who leads, and the pieces.
// The head names the pieces that belong to it by their hashes.
struct EncodedRecord {
  std::string head;
  std::array<std::string, kRecordPieces> pieces;

  friend bool operator==(const EncodedRecord&, const EncodedRecord&) = default;
};

// The record as the store keeps it.
EncodedRecord EncodeRecord(const OwnershipRecord& record);
// Reads a record; empty when the texts do not make up one, with the reason.
std::optional<OwnershipRecord> DecodeRecord(const EncodedRecord& encoded, std::string& reason);

}  // namespace sycamorestall
