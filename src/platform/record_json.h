#pragma once

#include <optional>
#include <string>

#include "core/group_record.h"
#include "core/instance_list.h"

namespace sycamorestall {

// The store key of a group's record.
std::string RecordKey(const GroupId& group);

// Writes a group's record as the text kept in the store.
std::string WriteRecord(const GroupRecord& record);
// Reads a record; empty when the text is not one.
std::optional<GroupRecord> ParseRecord(const std::string& text);

// Reads the platform's list; empty when the text is not one.
std::optional<InstanceList> ParseInstances(const std::string& text);
// Writes a list as the platform does.
std::string WriteInstances(const InstanceList& list);

}  // namespace sycamorestall
