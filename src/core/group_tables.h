#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "core/boot_clock.h"
#include "core/endpoint_order.h"
#include "core/group_record.h"
#include "core/identifiers.h"
#include "core/instance_list.h"

namespace sycamorestall {

// What the leader of a group knows of one endpoint.
struct EndpointRow {
  // Present in the list when it was last read; seen in it at any time before.
  bool listed = false;
  bool was_listed = false;
  bool leaving = false;
  // It has accepted an order of this leader's term.
  bool fenced = false;
  // When it first did; an endpoint that checks runs no request of an older term
  // after that.
  Instant fenced_at;
  // A write under this term began after the stamp's incarnation had answered, and
  // took effect: no later leader can have fenced an earlier start of it unseen.
  bool confirmed = false;
  // The freshest reading of its clock, when that came, and when it was asked for.
  std::optional<EndpointStamp> stamp;
  Instant stamp_received;
  Instant stamp_order_sent;
  // No grant renewed by this leader, or before it by a fenced one, lives longer.
  Instant latest_grant_expiry;
  // Until then the endpoint surely counts its lease as live.
  Instant lease_valid_until;
  // The order under way, if any.
  std::optional<EndpointOrder> order;
  Instant order_sent;
  Instant next_order;
  // Orders without an answer may still arrive until then.
  Instant lost_order_until;
  std::uint32_t failures = 0;
  // A request could not reach it: nothing is sent until an order is answered.
  bool suspected = false;
  std::map<ShardId, Epoch> held;
  std::set<ShardId> draining;
};

// Where a shard is on its way from one owner to the next.
enum class ShardPhase {
  // Nobody has ever owned it.
  kUnassigned,
  // The recorded owner has not confirmed that it holds the shard.
  kConfirming,
  // The owner holds it and takes requests.
  kServing,
  // The owner has been told to give it up.
  kRevoking,
  // Nobody holds it; the next owner is not yet recorded.
  kReleased,
  // The record naming the next owner is being written.
  kRecording,
};

// What the leader of a group knows of one shard.
struct ShardRow {
  ShardPhase phase = ShardPhase::kUnassigned;
  std::optional<Assignment> owner;
  std::optional<InstanceId> target;
  Instant since;
  // From when on only this leader can have dispatched requests of the shard;
  // empty while an earlier leader may still do so.
  std::optional<Instant> exclusive_since;
  // Requests counted lately, fading with time.
  double demand = 0;
};

using EndpointTable = std::map<InstanceId, EndpointRow>;
using ShardTable = std::map<ShardId, ShardRow>;

}  // namespace sycamorestall
