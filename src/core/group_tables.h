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

// The state of one endpoint, as its group's leader knows it.
struct EndpointRow {
  // Whether the latest list of instances names it, and whether any list did.
  bool listed = false;
  bool was_listed = false;
  bool leaving = false;
  // Whether it has accepted an order of this leader's term.
  bool fenced = false;
  // When it first did. From then on an endpoint that checks terms runs no request of an
  // older one.
  Instant fenced_at;
  // Whether a write of this term that began after the incarnation in `stamp` answered has
  // been applied. It shows that there was no later leader until then that could have
  // fenced an earlier incarnation, as the write would have failed otherwise.
  bool confirmed = false;
  // Its latest clock reading, when that arrived, and when the order that it answers was
  // sent.
  std::optional<EndpointStamp> stamp;
  Instant stamp_received;
  Instant stamp_order_sent;
  // Upper bound on the expiry of grants from this leader, and of earlier leaders' grants
  // once the endpoint is fenced.
  Instant latest_grant_expiry;
  // Until then the lease is certainly valid by the endpoint's clock.
  Instant lease_valid_until;
  // The order that awaits an answer, if any.
  std::optional<EndpointOrder> order;
  Instant order_sent;
  Instant next_order;
  // Until then orders that got no answer may still arrive and take effect.
  Instant lost_order_until;
  // Orders in a row that got no answer.
  std::uint32_t failures = 0;
  // A request could not reach it: no request is sent there until an order is answered.
  bool suspected = false;
  // From its last reply: the shards granted to it, and the revoked shards that still have
  // requests in flight.
  std::map<ShardId, Epoch> held;
  std::set<ShardId> draining_shards;
};

// The stage of a shard's move from one owner to the next.
enum class ShardPhase {
  // It has never had an owner.
  kUnassigned,
  // The recorded owner has not confirmed that it holds the shard.
  kConfirming,
  // The owner has confirmed it and takes requests.
  kServing,
  // It is being revoked from its owner.
  kRevoking,
  // No endpoint holds it; the next owner is not yet recorded.
  kReleased,
  // The record naming the next owner is being written.
  kRecording,
};

// The state of one shard, as its group's leader knows it.
struct ShardRow {
  ShardPhase phase = ShardPhase::kUnassigned;
  std::optional<Assignment> owner;
  // Where it is to move.
  std::optional<InstanceId> target;
  // When the phase began.
  Instant since;
  // From then on only this leader can have dispatched requests for the shard; empty while
  // an earlier leader may still do so.
  std::optional<Instant> exclusive_since;
  // Recent requests, counted with exponential decay.
  double demand = 0;
};

using EndpointTable = std::map<InstanceId, EndpointRow>;
using ShardTable = std::map<ShardId, ShardRow>;

}  // namespace sycamorestall
