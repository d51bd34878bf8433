#pragma once

#include <optional>
#include <string>
#include <variant>

#include "core/endpoint_order.h"
#include "core/group_record.h"
#include "core/identifiers.h"

namespace sycamorestall {

// A group's record and its revision in the store.
struct StoredRecord {
  Revision revision;
  GroupRecord record;

  friend bool operator==(const StoredRecord&, const StoredRecord&) = default;
};

// Reads the group's record.
struct ReadRecord {
  friend bool operator==(const ReadRecord&, const ReadRecord&) = default;
};

// Replaces the group's record if the store still holds the expected revision.
struct WriteRecord {
  GroupRecord record;
  Revision expected;

  friend bool operator==(const WriteRecord&, const WriteRecord&) = default;
};

// Sends an order to an endpoint.
struct SendOrder {
  InstanceId endpoint;
  EndpointOrder order;

  friend bool operator==(const SendOrder&, const SendOrder&) = default;
};

// Asks an earlier leader to stop sending orders.
struct AskStepDown {
  ProcessId earlier_leader;
  Term term;

  friend bool operator==(const AskStepDown&, const AskStepDown&) = default;
};

// Logs a decision.
struct LogMessage {
  std::string text;

  friend bool operator==(const LogMessage&, const LogMessage&) = default;
};

// Reports that this daemon no longer leads the group, and who does, if known.
struct Resigned {
  std::optional<ProcessId> next_leader;

  friend bool operator==(const Resigned&, const Resigned&) = default;
};

using GroupAction =
    std::variant<ReadRecord, WriteRecord, SendOrder, AskStepDown, LogMessage, Resigned>;

// How a compare-and-swap ended. Unknown means that the reply was lost: the write may have
// been applied or may still be.
enum class WriteOutcome { kApplied, kConflict, kUnknown };

}  // namespace sycamorestall
