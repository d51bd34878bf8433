#pragma once

#include <optional>
#include <string>
#include <variant>

#include "core/endpoint_order.h"
#include "core/group_record.h"
#include "core/identifiers.h"

namespace sycamorestall {

// A record as the store holds it.
struct StoredRecord {
  Revision revision;
  GroupRecord record;

  friend bool operator==(const StoredRecord&, const StoredRecord&) = default;
};

// Asks for the group's record.
struct ReadRecord {
  friend bool operator==(const ReadRecord&, const ReadRecord&) = default;
};

// Asks for a compare-and-swap of the group's record.
struct WriteRecord {
  GroupRecord record;
  Revision expected;

  friend bool operator==(const WriteRecord&, const WriteRecord&) = default;
};

// Asks for an order to be sent to an endpoint.
struct SendOrder {
  InstanceId endpoint;
  EndpointOrder order;

  friend bool operator==(const SendOrder&, const SendOrder&) = default;
};

// Asks an earlier leader to stop sending orders.
struct AskStepDown {
  ProcessId earlier;
  Term term;

  friend bool operator==(const AskStepDown&, const AskStepDown&) = default;
};

// Says in one sentence what was decided, for the log.
struct LogMessage {
  std::string text;

  friend bool operator==(const LogMessage&, const LogMessage&) = default;
};

// Says that this daemon leads the group no longer, and who does, if known.
struct Resigned {
  std::optional<ProcessId> next;

  friend bool operator==(const Resigned&, const Resigned&) = default;
};

using GroupAction =
    std::variant<ReadRecord, WriteRecord, SendOrder, AskStepDown, LogMessage, Resigned>;

// How a compare-and-swap ended. Unknown: the reply was lost and the write may
// have taken effect or may still do so.
enum class WriteOutcome { kApplied, kConflict, kUnknown };

}  // namespace sycamorestall
