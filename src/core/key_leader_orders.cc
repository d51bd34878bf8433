// Grants and releases of the leader: what is sent for each range, and what follows
// from answers and silence.

#include <algorithm>
#include <utility>

#include "core/invariant.h"
#include "core/key_leader.h"

namespace sycamorestall {

void KeyLeader::AdvanceRows(const EndpointFleet& fleet, const StoreView& store, Instant now) {
  for (Row& row : rows_) {
    if (row.phase == RowPhase::kOwned) {
      AdvanceOwned(row, fleet, store, now);
    } else if (row.phase == RowPhase::kExpiring) {
      AdvanceExpiring(row, fleet, now);
    }
  }
}

void KeyLeader::TakeRestart(Row& row, const EndpointEntry& owner) {
  Explain("owner restarted range=" + ToString(row.owned.range) +
          " endpoint=" + row.owned.owner.value());
  // Grants that were sent before the restart was known were taken by the new
  // start: the keys stay where they are, with a higher token, or are released.
  row.owned.incarnation = owner.incarnation;
  row.handover.clear();
  row.target = row.owned.owner;
  Free(row);
  row.pinned = true;
}

void KeyLeader::AdvanceOwned(Row& row, const EndpointFleet& fleet, const StoreView& store,
                             Instant now) {
  const EndpointState* owner = fleet.Find(row.owned.owner);
  const bool list_holds = store.reachable && now - store.reachable_since >= settings_.list_settle;
  if (row.order != 0) {
    // A grant on its way would arrive behind what is decided here.
    return;
  }
  if (owner != nullptr && owner->entry.incarnation != row.owned.incarnation) {
    TakeRestart(row, owner->entry);
    return;
  }
  const bool leaves = owner != nullptr && owner->entry.draining;
  const bool gone = owner == nullptr && list_holds;
  if (gone && IsReplaced(row, fleet)) {
    Explain("owner replaced range=" + ToString(row.owned.range) +
            " endpoint=" + row.owned.owner.value());
    Free(row);
    return;
  }
  if ((leaves || gone) && !NeedsGrantFirst(row, now)) {
    BeginRelease(row, std::nullopt, leaves ? "owner leaves" : "owner gone from the list", now);
    return;
  }
  const bool lapsed = row.silences > 1 && now >= row.held_until;
  if (lapsed) {
    Explain("grant ran out range=" + ToString(row.owned.range) +
            " endpoint=" + row.owned.owner.value() + " silences=" + std::to_string(row.silences));
    row.target.reset();
    row.handover.clear();
    Free(row);
    return;
  }
  if (now >= row.next_order) {
    SendGrantFor(row, now);
  }
}

bool KeyLeader::NeedsGrantFirst(const Row& row, Instant now) {
  // An owner that does not answer will not answer the release either.
  constexpr std::uint32_t kMaxSilences = 2;
  return now < row.earlier_until && row.silences < kMaxSilences;
}

bool KeyLeader::IsReplaced(const Row& row, const EndpointFleet& fleet) const {
  if (fleet.Find(row.owned.owner) != nullptr) {
    return false;
  }
  const NetworkAddress address = AddressOf(row.owned.owner);
  return std::any_of(fleet.all().begin(), fleet.all().end(),
                     [&](const auto& each) { return each.second.entry.address == address; });
}

void KeyLeader::AdvanceExpiring(Row& row, const EndpointFleet& fleet, Instant now) {
  const EndpointState* owner = fleet.Find(row.owned.owner);
  const bool is_back = owner != nullptr && !owner->entry.draining &&
                       owner->entry.incarnation == row.owned.incarnation && !row.target;
  if (is_back) {
    Explain("owner back range=" + ToString(row.owned.range) +
            " endpoint=" + row.owned.owner.value());
    row.phase = RowPhase::kOwned;
    row.serving = true;
    row.silences = 0;
    row.next_order = now;
    return;
  }
  const bool ran_out = now >= row.held_until && now >= row.doubtful_until;
  if (ran_out || IsReplaced(row, fleet)) {
    Free(row);
  }
}

void KeyLeader::SendGrantFor(Row& row, Instant now) {
  row.order = next_order_++;
  row.order_sent = now;
  row.held_before_order = row.held_until;
  row.held_until = std::max(row.held_until, now + HoldTime());
  actions_.emplace_back(
      SendGrant{row.order, row.owned.owner, AddressOf(row.owned.owner),
                KeyGrant{row.owned.range, row.owned.token, settings_.time_to_live, row.handover}});
}

NetworkAddress KeyLeader::AddressOf(const InstanceId& endpoint) const {
  const auto found = addresses_.find(endpoint);
  return found == addresses_.end() ? NetworkAddress{} : found->second;
}

void KeyLeader::BeginRelease(Row& row, std::optional<InstanceId> target, const std::string& reason,
                             Instant now) {
  RequireInvariant(row.order == 0, "keys are released with no grant on its way");
  row.phase = RowPhase::kReleasing;
  row.serving = false;
  row.target = std::move(target);
  row.handover.clear();
  row.order = next_order_++;
  row.order_sent = now;
  Explain("release range=" + ToString(row.owned.range) + " endpoint=" + row.owned.owner.value() +
          " target=" + (row.target ? row.target->value() : "any") + " reason=" + reason);
  actions_.emplace_back(SendRelease{row.order, row.owned.owner, AddressOf(row.owned.owner),
                                    row.owned.range, FencingToken{record_.highest.value + 1}});
  actions_.emplace_back(RoutesChanged{});
}

void KeyLeader::Free(Row& row) {
  row.phase = RowPhase::kFree;
  row.order = 0;
  row.granted = false;
  row.serving = false;
  actions_.emplace_back(RoutesChanged{});
}

KeyLeader::Row* KeyLeader::RowOfOrder(std::uint64_t order) {
  const auto found = std::find_if(rows_.begin(), rows_.end(),
                                  [order](const Row& row) { return row.order == order; });
  return found == rows_.end() ? nullptr : &*found;
}

void KeyLeader::TakeReply(std::uint64_t order, const OrderReply& reply, Instant now) {
  Row* row = RowOfOrder(order);
  if (row == nullptr) {
    return;
  }
  row->order = 0;
  if (reply.verdict == OrderReply::Verdict::kDone) {
    row->silences = 0;
  }
  if (row->phase == RowPhase::kReleasing) {
    row->handover = reply.handover;
    const bool given_back = reply.verdict == OrderReply::Verdict::kDone &&
                            now >= row->doubtful_until && now >= row->earlier_until;
    if (given_back || reply.verdict == OrderReply::Verdict::kAnotherEndpoint) {
      Free(*row);
    } else {
      Explain("keys still held range=" + ToString(row->owned.range) +
              " endpoint=" + row->owned.owner.value());
      row->phase = RowPhase::kExpiring;
    }
    return;
  }
  if (reply.verdict == OrderReply::Verdict::kDone) {
    row->next_order = now + settings_.renew_interval;
    row->handover.clear();
    row->granted = true;
    row->earlier_until = {};
    if (!row->serving) {
      row->serving = true;
      actions_.emplace_back(RoutesChanged{});
    }
    return;
  }
  if (reply.verdict == OrderReply::Verdict::kOutdated) {
    // The endpoint obeys only a higher token; it holds nothing under this one.
    Explain("token outdated range=" + ToString(row->owned.range) +
            " endpoint=" + row->owned.owner.value());
    row->target = row->owned.owner;
    Free(*row);
    return;
  }
  if (reply.verdict == OrderReply::Verdict::kAnotherEndpoint) {
    Explain("owner replaced range=" + ToString(row->owned.range) +
            " endpoint=" + row->owned.owner.value());
    Free(*row);
    return;
  }
  row->next_order = now + settings_.order_retry;
  ++row->silences;
  row->silent_at = now;
}

void KeyLeader::TakeSilence(std::uint64_t order, bool sent, Instant now) {
  Row* row = RowOfOrder(order);
  if (row == nullptr) {
    return;
  }
  row->order = 0;
  ++row->silences;
  row->silent_at = now;
  if (row->phase == RowPhase::kReleasing) {
    row->phase = RowPhase::kExpiring;
    Explain("release unanswered range=" + ToString(row->owned.range) +
            " endpoint=" + row->owned.owner.value());
    return;
  }
  if (sent) {
    row->doubtful_until = std::max(row->doubtful_until, row->order_sent + HoldTime());
  } else {
    row->held_until = row->held_before_order;
  }
  row->next_order = now + settings_.order_retry;
}

void KeyLeader::TakeDenial(KeyNumber key, const InstanceId& endpoint, Instant now) {
  for (Row& row : rows_) {
    const bool concerned = row.phase == RowPhase::kOwned && row.granted && row.order == 0 &&
                           row.owned.owner == endpoint && row.owned.range.Contains(key);
    if (concerned) {
      row.next_order = std::min(row.next_order, now);
    }
  }
}

}  // namespace sycamorestall
