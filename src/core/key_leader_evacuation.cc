// How the leader takes keys away from the endpoints of evacuated failure domains.

#include <algorithm>
#include <map>
#include <utility>

#include "core/evacuation_batches.h"
#include "core/key_leader.h"

namespace sycamorestall {

namespace {

// Keys are released in pieces of this share of the load that an endpoint will have, so that they
// can be spread evenly.
constexpr double kPieceShare = 1.0 / 3;

// Pieces of the keys of one domain that can be released now.
struct EvacuatedPieces {
  Instant learned_at;
  std::vector<KeyRange> pieces;
};

}  // namespace

std::size_t KeyLeader::CountEvacuatedKeys(const EndpointFleet& fleet) const {
  std::size_t keys = 0;
  for (const RangeState& state : ranges_) {
    const EndpointState* owner = fleet.Find(state.owned.owner);
    keys += owner != nullptr && owner->evacuation ? state.owned.range.size() : 0;
  }
  return keys;
}

void KeyLeader::TrackEvacuation(const EndpointFleet& fleet, Instant now) {
  const bool any_evacuated = !fleet.evacuations().all().empty();
  if (!any_evacuated && !evacuation_progress_.active()) {
    return;
  }
  std::string news = evacuation_progress_.Update(CountEvacuatedKeys(fleet), any_evacuated, now);
  if (!news.empty()) {
    LogDecision(std::move(news));
  }
}

bool KeyLeader::IsReleasable(const RangeState& state, const EndpointState& owner, Instant now) {
  return state.phase == RangePhase::kOwned && state.pending_order == 0 &&
         owner.entry.incarnation == state.owned.incarnation && !HasExpired(state, now) &&
         !NeedsGrantBeforeRelease(state, now);
}

void KeyLeader::ReleaseEvacuatedKeys(const EndpointFleet& fleet, const StoreView& store,
                                     Instant now) {
  // Without the store no other owner can be recorded.
  if (evacuation_progress_.keys_left() == 0 || !store.reachable ||
      now < next_evacuation_batch_at_) {
    return;
  }
  const std::vector<KeyPlacementTarget> targets = EligibleEndpoints(fleet, now);
  if (targets.empty()) {
    // The keys stay where they are, with their state, until there is a place for them.
    return;
  }
  const double max_load =
      kPieceShare * KeyLoad({0, kKeyCount - 1}, demand_) / static_cast<double>(targets.size());
  std::map<DomainName, EvacuatedPieces> evacuated;
  for (const RangeState& state : ranges_) {
    const EndpointState* owner = fleet.Find(state.owned.owner);
    if (owner == nullptr || !owner->evacuation || !IsReleasable(state, *owner, now)) {
      continue;
    }
    EvacuatedPieces& domain = evacuated[owner->entry.domain];
    domain.learned_at = owner->evacuation->learned_at;
    const std::vector<KeyRange> pieces = SplitByLoad(state.owned.range, demand_, max_load);
    domain.pieces.insert(domain.pieces.end(), pieces.begin(), pieces.end());
  }
  for (const auto& [domain, each] : evacuated) {
    const std::size_t count = EvacuationBatchSize(each.pieces.size(), each.learned_at, now);
    // Pieces far apart, so that a batch takes a few keys from each owner.
    for (std::size_t i = 0; i < count; ++i) {
      ReleasePiece(each.pieces[i * each.pieces.size() / count], std::nullopt, "evacuation");
    }
    LogDecision("evacuation batch domain=" + domain.value() + " pieces=" + std::to_string(count) +
                "/" + std::to_string(each.pieces.size()) +
                " keys_left=" + std::to_string(evacuation_progress_.keys_left()));
    next_evacuation_batch_at_ = now + kEvacuationBatchInterval;
  }
}

}  // namespace sycamorestall
