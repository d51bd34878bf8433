#pragma once

#include <optional>
#include <string>

#include "core/ownership_record.h"

namespace sycamorestall {

// The record as the store keeps it.
std::string EncodeRecord(const OwnershipRecord& record);
// Reads a record; empty when it is not one, with the reason.
std::optional<OwnershipRecord> DecodeRecord(const std::string& text, std::string& problem);

}  // namespace sycamorestall
