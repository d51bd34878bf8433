#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/group_record.h"
#include "core/identifiers.h"

namespace sycamorestall {

// A shard granted under an epoch.
struct ShardGrant {
  ShardId shard;
  Epoch epoch;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const ShardGrant&, const ShardGrant&) = default;
};

// A reading of an endpoint's clock, taken by that endpoint. Leases run from such a
// reading, not from the arrival of an order, so an order that is delivered late does not
// extend them.
struct EndpointStamp {
  Incarnation incarnation;
  std::int64_t clock_ns = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const EndpointStamp&, const EndpointStamp&) = default;
};

// An order from a leader to an endpoint. With a stamp it extends every grant of the group
// to the stamp plus the time to live; without one it only presents the term and asks which
// grants the endpoint holds. Orders of one term are numbered, and an endpoint that checks
// them refuses one that arrives after a later one.
struct EndpointOrder {
  GroupId group;
  ProcessId leader;
  Term term;
  std::uint64_t sequence = 0;
  std::optional<EndpointStamp> stamp;
  std::chrono::milliseconds time_to_live{};
  std::vector<ShardGrant> grants;
  std::vector<ShardId> revocations;

  friend bool operator==(const EndpointOrder&, const EndpointOrder&) = default;
};

// Whether an endpoint accepted an order, or why it refused it: a newer term or a later
// order came before, or the stamp is of another incarnation or has expired.
enum class OrderOutcome { kAccepted, kStaleTerm, kStaleOrder, kStaleStamp };

// An endpoint's reply to an order: what it holds afterwards, which revoked
// shards still have requests in flight, and a fresh reading of its clock.
struct EndpointReply {
  OrderOutcome outcome = OrderOutcome::kAccepted;
  Term term;
  EndpointStamp stamp;
  std::vector<ShardGrant> held;
  std::vector<ShardId> draining_shards;
  // Whether the endpoint is being removed from service.
  bool leaving = false;

  friend bool operator==(const EndpointReply&, const EndpointReply&) = default;
};

}  // namespace sycamorestall
