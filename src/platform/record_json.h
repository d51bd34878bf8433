#pragma once

#include <optional>
#include <string>

#include "core/group_record.h"
#include "core/instance_list.h"

namespace sycamorestall {

// The store key of a group's record.
std::string RecordKey(const GroupId& group);

// Formats a group's record as the JSON text kept in the store.
std::string FormatRecord(const GroupRecord& record);
// Parses a record; nullopt when the text is malformed.
std::optional<GroupRecord> ParseRecord(const std::string& text);

// Parses the platform's list of instances; nullopt when the text is malformed.
std::optional<InstanceList> ParseInstances(const std::string& text);
// Formats a list of instances as the platform does.
std::string FormatInstances(const InstanceList& list);

}  // namespace sycamorestall
