#include "store/store_watcher.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

#include "core/drain_timing.h"

namespace sycamorestall {

namespace {

// Delay before the next watch after a change, so that further changes come in one batch.
constexpr std::chrono::milliseconds kBatchDelay{700};
// The same if further changes are wanted soon.
constexpr std::chrono::milliseconds kShortBatchDelay{100};
// The store answers a watch after this time even if nothing changed, so that a dead
// connection is detected soon.
constexpr std::chrono::milliseconds kWatchWait{800};
// A call that updates have made unnecessary is abandoned after this time, as it occupies a
// congested link.
constexpr std::chrono::milliseconds kAbandonDelay{1000};
// If no daemon learned anything from the store for this long and the last call failed, the store
// probably answers nobody. Endpoints rewrite their entries more often than that.
constexpr std::chrono::milliseconds kOutageSilence{2000};
constexpr std::chrono::milliseconds kInitialRetryDelay{100};
constexpr std::uint32_t kMaxBackoffDoublings = 3;
// An answer counts as missing this long after it was due. The time doubles with each call given up
// in vain, as the store may answer small calls much faster than large ones.
constexpr std::chrono::milliseconds kMinProbeDelay{400};
constexpr std::chrono::milliseconds kMaxProbeDelay{3200};
constexpr std::chrono::milliseconds kProbeInterval{400};
// After a longer gap all contents are read, which is less data than all changes since.
constexpr std::chrono::milliseconds kMaxWatchGap{4000};
// Relayed updates no longer replace the watch if none came for this long, or if the store answer
// behind them is older than kMaxListAge. A configuration has to take effect within 2 s of its write
// as well.
constexpr std::chrono::milliseconds kMaxUpdateSilence{900};
// Missing updates that will be sent again are waited for this long.
constexpr std::chrono::milliseconds kResendWait{1200};
// A change of the operator's that a peer knows is waited for this long.
constexpr std::chrono::milliseconds kChangeWait{400};

// A watch may return this much more than all contents. Giving it up for a read costs a second
// round trip, in which a slow link carries about as much.
constexpr std::size_t kWatchAllowanceBytes = std::size_t{128} * 1024;
// Approximate size of an item in an answer without its key and value.
constexpr std::size_t kItemOverheadBytes = 100;
// Base64 encodes three bytes as four.
constexpr std::size_t kEncodingNumerator = 4;
constexpr std::size_t kEncodingDenominator = 3;

}  // namespace

StoreWatcher::StoreWatcher(Store& store, StoreObserver& observer, Clock clock,
                           std::string operator_prefix)
    : store_(store),
      observer_(observer),
      clock_(clock),
      probe_delay_(kMinProbeDelay),
      operator_revisions_(std::move(operator_prefix)) {}

bool StoreWatcher::IsChangeOverdue(Instant now) const {
  const auto missing = operator_revisions_.OldestMissing();
  return missing && now - missing->heard_at >= kChangeWait;
}

bool StoreWatcher::HasFreshUpdates(Instant now) const {
  return !watching_ && !IsChangeOverdue(now) && now - last_update_at_ < kMaxUpdateSilence &&
         now - last_answer_at_ < kMaxListAge &&
         (missing_until_ <= revision_ || now < missing_updates_expected_until_);
}

UpdateState StoreWatcher::update_state(Instant now) const {
  return {HasFreshUpdates(now), now - last_update_at_, now - last_answer_at_,
          missing_until_ > revision_};
}

const char* StoreWatcher::CallReason(Instant now) const {
  if (reload_needed_) {
    return "reload";
  }
  if (watching_) {
    return "watching";
  }
  if (missing_until_ > revision_) {
    return "updates missing";
  }
  if (IsChangeOverdue(now)) {
    return "change missing";
  }
  return now - last_update_at_ < kMaxUpdateSilence ? "updates outdated" : "no updates";
}

void StoreWatcher::ReportCall(StoreStateSource call, std::error_code error, Revision to,
                              const StoreTransfer& transfer) {
  observer_.HandleStoreCall(
      {call, call_reason_, clock_() - call_sent_at_, transfer, call_sent_revision_, to, error});
}

std::size_t StoreWatcher::MaxWatchBytes() const {
  std::size_t contents_bytes = 0;
  for (const auto& [key, item] : items_) {
    contents_bytes += key.size() + item.value_bytes + kItemOverheadBytes;
  }
  return contents_bytes * kEncodingNumerator / kEncodingDenominator + kWatchAllowanceBytes;
}

void StoreWatcher::SkipBatchDelay() {
  if (consecutive_failures_ == 0) {
    next_call_at_ = std::min<Instant>(next_call_at_, last_arrival_at_ + kShortBatchDelay);
  }
}

void StoreWatcher::ObserveEra(StoreEra era) {
  latest_era_ = std::max(latest_era_, era);
  if (loaded() && IsOfEarlierEra(revision_)) {
    reload_needed_ = true;
  }
}

void StoreWatcher::AbandonUselessCall(Instant now) {
  if (!call_pending_) {
    return;
  }
  const bool replaced =
      now - call_sent_at_ > kAbandonDelay && !reload_needed_ && HasFreshUpdates(now);
  const bool of_earlier_era = loaded() && call_sent_era_ < latest_era_;
  if (replaced || of_earlier_era) {
    AbandonCall(now);
  }
}

void StoreWatcher::AbandonCall(Instant now) {
  if (std::exchange(call_pending_, false)) {
    store_.AbandonReads();
  }
  next_call_at_ = now;
}

void StoreWatcher::ProbeIfDue(Instant now) {
  const auto due_at = store_.OldestMissingAnswer(now);
  if (!due_at || now - *due_at < probe_delay_ || now < next_probe_at_) {
    return;
  }
  next_probe_at_ = now + kProbeInterval;
  store_.Probe([this, now](std::error_code error) { HandleProbeResult(error, now); });
}

void StoreWatcher::HandleProbeResult(std::error_code error, Instant sent_at) {
  const auto due_at = store_.OldestMissingAnswer(clock_());
  if (error || !due_at || *due_at > sent_at - probe_delay_) {
    return;
  }
  // What was sent later, but before the probe, may have been lost in the same silence.
  store_.GiveUpUnanswered(sent_at);
  probe_delay_ = std::min(probe_delay_ * 2, kMaxProbeDelay);
}

void StoreWatcher::RecordPeerProgress(Instant now) {
  peer_progress_at_ = now;
  if (std::exchange(sent_in_outage_, false)) {
    AbandonCall(now);
  }
}

void StoreWatcher::Tick(Instant now) {
  ObserveEra(store_.era());
  AbandonUselessCall(now);
  ProbeIfDue(now);
  ReloadIfIncomplete(now);
  if (call_pending_ || now < next_call_at_ || (!reload_needed_ && HasFreshUpdates(now))) {
    return;
  }
  call_pending_ = true;
  call_sent_at_ = now;
  call_sent_revision_ = revision_;
  call_sent_era_ = latest_era_;
  call_reason_ = CallReason(now);
  sent_in_outage_ = !reachable_ && now - peer_progress_at_ > kOutageSilence;
  if (reload_needed_ || now - last_arrival_at_ > kMaxWatchGap) {
    reload_needed_ = true;
    store_.ReadAll([this](std::error_code error, const Store::Contents& contents) {
      HandleReadResult(error, contents);
    });
    return;
  }
  store_.Watch(revision_, kWatchWait, MaxWatchBytes(),
               [this](std::error_code error, const Store::Changes& changes) {
                 HandleWatchResult(error, changes);
               });
}

void StoreWatcher::ReloadIfIncomplete(Instant now) {
  const auto missing = operator_revisions_.OldestMissing();
  if (loaded() && IsChangeOverdue(now) && missing->revision <= revision_) {
    reload_needed_ = true;
  }
}

void StoreWatcher::HandleReadResult(std::error_code error, const Store::Contents& contents) {
  call_pending_ = false;
  ReportCall(StoreStateSource::kRead, error, contents.revision, contents.transfer);
  ObserveEra(contents.revision.era);
  if (!error && IsOfEarlierEra(contents.revision)) {
    next_call_at_ = clock_();
    return;
  }
  if (error) {
    RecordFailure(error);
    return;
  }
  reload_needed_ = false;
  RecordSuccess(call_sent_at_, std::chrono::milliseconds{0});
  std::vector<StoreEvent> events = EventsLeadingTo(contents);
  if (contents.revision < revision_) {
    // More recent updates arrived while the read was running, so that it may list items which have
    // been removed since. Only the operator's removals are remembered.
    std::erase_if(events, [this](const StoreEvent& each) {
      return each.removed || !each.item.key.starts_with(operator_revisions_.prefix());
    });
  }
  const bool restored = loaded() && contents.revision.era > revision_.era;
  ApplyEvents(events, contents.revision,
              {StoreStateSource::kRead, clock_() - call_sent_at_, contents.transfer, restored});
  operator_revisions_.RecordRead(contents.revision);
}

void StoreWatcher::HandleWatchResult(std::error_code error, const Store::Changes& changes) {
  call_pending_ = false;
  ReportCall(StoreStateSource::kWatch, error, changes.revision, changes.transfer);
  const bool outdated = !error && IsOfEarlierEra(changes.revision);
  if (error == StoreError::kHistoryGone || error == StoreError::kTooLarge || outdated) {
    reload_needed_ = true;
    next_call_at_ = clock_();
    return;
  }
  if (error) {
    RecordFailure(error);
    return;
  }
  // A long answer may be seconds old once its last byte arrives.
  RecordSuccess(clock_() - changes.transfer.time,
                changes.events.empty() ? std::chrono::milliseconds{0} : kBatchDelay);
  std::vector<StoreEvent> events;
  // Relayed updates may have delivered some of them already.
  std::copy_if(changes.events.begin(), changes.events.end(), std::back_inserter(events),
               [this](const StoreEvent& each) { return IsNew(each.item.key, each.item.revision); });
  ApplyEvents(events, changes.revision,
              {StoreStateSource::kWatch, clock_() - call_sent_at_, changes.transfer, false});
}

std::vector<StoreEvent> StoreWatcher::EventsLeadingTo(const Store::Contents& contents) const {
  std::vector<StoreEvent> events;
  std::set<std::string_view> listed;
  for (const StoreItem& item : contents.items) {
    listed.insert(item.key);
    if (!IsKnown(item.key, item.revision)) {
      events.push_back({item, false});
    }
  }
  for (const auto& [key, item] : items_) {
    // An item with a later revision may have been written after the read.
    if (!listed.contains(key) && item.revision <= contents.revision) {
      events.push_back({{key, "", contents.revision}, true});
    }
  }
  return events;
}

void StoreWatcher::ApplyEvents(const std::vector<StoreEvent>& events, Revision revision,
                               const StoreStateOrigin& origin) {
  const Instant now = clock_();
  if (revision.era > revision_.era) {
    values_ = {};
  }
  values_.DiscardOld(now);
  for (const StoreEvent& each : events) {
    if (each.removed) {
      items_.erase(each.item.key);
      values_.Remove(each.item.key);
      if (each.item.key.starts_with(operator_revisions_.prefix())) {
        operator_removals_[each.item.key] = each.item.revision;
      }
    } else {
      items_[each.item.key] = {each.item.revision, each.item.value.size()};
      values_.Put(each.item, now);
    }
  }
  revision_ = std::max(revision_, revision);
  observer_.ApplyChanges({events, revision_}, origin);
  operator_revisions_.RecordApplied(events);
}

bool StoreWatcher::IsKnown(const std::string& key, Revision revision) const {
  const auto item = items_.find(key);
  const auto removal = operator_removals_.find(key);
  return (item != items_.end() && revision <= item->second.revision) ||
         (removal != operator_removals_.end() && revision <= removal->second);
}

bool StoreWatcher::IsNew(const std::string& key, Revision revision) const {
  return revision > revision_ && !IsKnown(key, revision);
}

void StoreWatcher::RecordGap(const StoreUpdate& update, Instant now) {
  const bool is_new_gap = missing_until_ <= revision_;
  missing_until_ = std::max(missing_until_, update.revision);
  if (!update.base_assumed) {
    missing_updates_expected_until_ = now;
  } else if (is_new_gap) {
    missing_updates_expected_until_ = now + kResendWait;
  }
}

UpdateResult StoreWatcher::ApplyUpdate(const StoreUpdate& update, Instant now) {
  if (!loaded()) {
    return UpdateResult::kIgnored;
  }
  ObserveEra(update.revision.era);
  if (IsOfEarlierEra(update.revision) || IsOfEarlierEra(revision_)) {
    return UpdateResult::kIgnored;
  }
  last_update_at_ = now;
  if (update.base > revision_) {
    RecordGap(update, now);
    return UpdateResult::kGap;
  }
  std::vector<StoreEvent> events;
  for (const RelayedEvent& each : update.events) {
    if (!IsNew(each.key, each.revision)) {
      continue;
    }
    auto event = DecompressEvent(each, values_);
    if (!event) {
      // The value cannot be decompressed, so the next tick fetches the event from the store.
      missing_until_ = std::max(missing_until_, update.revision);
      missing_updates_expected_until_ = now;
      return UpdateResult::kUndecodable;
    }
    events.push_back(std::move(*event));
  }
  // The update covers every change since the known revision, so no reload is needed.
  reload_needed_ = false;
  last_arrival_at_ = now;
  last_answer_at_ =
      std::max(last_answer_at_, now - std::chrono::milliseconds{update.answered_ms_ago});
  if (update.revision <= revision_ && events.empty()) {
    return UpdateResult::kKnown;
  }
  ApplyEvents(
      events, update.revision,
      {StoreStateSource::kRelay, std::chrono::milliseconds{update.answered_ms_ago}, {}, false});
  return UpdateResult::kApplied;
}

void StoreWatcher::ApplyOperatorChanges(const Store::Changes& changes,
                                        const StoreStateOrigin& origin) {
  ObserveEra(changes.revision.era);
  if (changes.revision.era != revision_.era) {
    return;
  }
  std::vector<StoreEvent> events;
  std::copy_if(changes.events.begin(), changes.events.end(), std::back_inserter(events),
               [this](const StoreEvent& each) {
                 return each.item.key.starts_with(operator_revisions_.prefix()) &&
                        !IsKnown(each.item.key, each.item.revision);
               });
  if (!events.empty()) {
    ApplyEvents(events, revision_, origin);
  }
}

void StoreWatcher::RecordCallResult(std::error_code error) {
  const Instant now = clock_();
  if (reload_needed_ || !HasFreshUpdates(now)) {
    // The watcher's own calls show whether the store is reachable.
    return;
  }
  const bool failed = error == StoreError::kNoAnswer || error == StoreError::kRefused;
  if (failed) {
    SetUnreachable(now, error);
  } else {
    SetReachable(now);
  }
}

void StoreWatcher::RecordSuccess(Instant answered_at, std::chrono::milliseconds delay) {
  const Instant now = clock_();
  confirmed_at_ = call_sent_at_;
  last_answer_at_ = std::max(last_answer_at_, answered_at);
  last_arrival_at_ = now;
  next_call_at_ = now + delay;
  consecutive_failures_ = 0;
  probe_delay_ = kMinProbeDelay;
  SetReachable(now);
}

void StoreWatcher::RecordFailure(std::error_code error) {
  const Instant now = clock_();
  if (error == StoreError::kGivenUp) {
    next_call_at_ = now;
    return;
  }
  next_call_at_ =
      now + kInitialRetryDelay * (1U << std::min(consecutive_failures_, kMaxBackoffDoublings));
  ++consecutive_failures_;
  SetUnreachable(now, error);
}

void StoreWatcher::SetReachable(Instant now) {
  if (!reachable_) {
    reachable_ = true;
    reachable_since_ = now;
    observer_.HandleReachability(true, "");
  }
}

void StoreWatcher::SetUnreachable(Instant now, std::error_code error) {
  if (reachable_) {
    reachable_ = false;
    unreachable_since_ = now;
    observer_.HandleReachability(false, error.message());
  }
}

}  // namespace sycamorestall
