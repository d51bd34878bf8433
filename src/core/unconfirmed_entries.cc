#include "core/unconfirmed_entries.h"

#include <utility>

namespace sycamorestall {

namespace {

// An entry of an endpoint that is silent for three heartbeats is removed, so one that stays for
// longer has been renewed.
constexpr std::chrono::milliseconds kRenewalTime{4000};
// An endpoint that runs overwrites a late entry of its earlier incarnation with its next heartbeat.
constexpr std::chrono::milliseconds kOverwriteTime{1200};
// Two late writes of an earlier incarnation may come one after the other, but the incarnation that
// runs hardly ever leaves this much time between its own.
constexpr std::chrono::milliseconds kMinRenewalGap{500};
// For how long other daemons may wait for a further heartbeat of an endpoint.
constexpr std::chrono::milliseconds kConfirmationTime{3000};

}  // namespace

bool UnconfirmedEntries::Renews(const Candidate& candidate, const Candidate& earlier) {
  const bool is_spaced = candidate.age == EntryAge::kUnconfirmedReturn ||
                         candidate.since - earlier.since >= kMinRenewalGap;
  return candidate.entry.incarnation == earlier.entry.incarnation &&
         candidate.entry.heartbeat > earlier.entry.heartbeat && is_spaced;
}

bool UnconfirmedEntries::Add(const Candidate& candidate) {
  const InstanceId& id = candidate.entry.id;
  const auto [held, is_new] = candidates_.try_emplace(id, candidate);
  if (is_new) {
    return false;
  }
  if (Renews(candidate, held->second)) {
    RecordConfirmation(id, candidate.since);
    return true;
  }
  if (candidate.entry.incarnation != held->second.entry.incarnation) {
    held->second = candidate;
  }
  return false;
}

std::optional<UnconfirmedEntries::Candidate> UnconfirmedEntries::Confirm(const EndpointEntry& entry,
                                                                         Instant now) {
  const auto held = candidates_.find(entry.id);
  if (held == candidates_.end() || held->second.entry != entry) {
    return std::nullopt;
  }
  Candidate confirmed = held->second;
  RecordConfirmation(entry.id, now);
  return confirmed;
}

std::vector<UnconfirmedEntries::Candidate> UnconfirmedEntries::TakeConfirmed(Instant now) {
  std::vector<Candidate> confirmed;
  for (const auto& [id, candidate] : candidates_) {
    const Duration needed =
        candidate.age == EntryAge::kUnconfirmedReturn ? kRenewalTime : kOverwriteTime;
    if (now - candidate.since >= needed) {
      confirmed.push_back(candidate);
    }
  }
  for (const Candidate& each : confirmed) {
    RecordConfirmation(each.entry.id, now);
  }
  return confirmed;
}

bool UnconfirmedEntries::WasConfirmedRecently(const InstanceId& id, Instant now) const {
  const auto confirmed = confirmed_at_.find(id);
  return confirmed != confirmed_at_.end() && now - confirmed->second < kConfirmationTime;
}

void UnconfirmedEntries::RecordConfirmation(const InstanceId& id, Instant now) {
  candidates_.erase(id);
  std::erase_if(confirmed_at_,
                [now](const auto& each) { return now - each.second >= kConfirmationTime; });
  confirmed_at_[id] = now;
}

}  // namespace sycamorestall
