#pragma once

#include <map>
#include <string>

#include "store/operator_revisions.h"
#include "store/store_observer.h"
#include "store/store_update.h"

namespace sycamorestall {

// Tracks the store: reads all items, then watches all keys. After each change it delays the next
// watch, so that changes arrive in batches.
//
// Store calls cost money, so only one daemon per domain has to watch. The others rely on the
// updates that it relays, and call the store themselves while updates are late, outdated or
// incomplete. In a new era of the store each daemon reads all items for itself.
//
// A call that was sent into a silence is never answered. While an answer is missing, small probes
// are sent; once one is answered, all calls whose answers are missing are given up and repeated. So
// the length of timeouts, which a slow store or link needs, does not delay what follows a silence.
class StoreWatcher {
 public:
  using Clock = Instant (*)();

  // The keys of the operator's items begin with the prefix.
  StoreWatcher(Store& store, StoreObserver& observer, Clock clock, std::string operator_prefix);

  // Starts the next store call if one is due, and abandons a slow one that updates have replaced.
  void Tick(Instant now);
  // Sets whether this daemon watches the store even while it receives updates.
  void SetWatching(bool watching) { watching_ = watching; }
  bool watching() const { return watching_; }
  // Makes the next watch due soon, although changes have just come.
  void SkipBatchDelay();
  // Notes that the store is in an era. If that is later than the known contents, all is read anew:
  // changes that were known may have been lost.
  void ObserveEra(StoreEra era);
  // Applies an update relayed by another daemon.
  UpdateResult ApplyUpdate(const StoreUpdate& update, Instant now);
  // Notes the latest change of the operator's that a peer knows. If it does not arrive soon, this
  // daemon calls the store itself, whatever updates say.
  void RecordPeerChange(const InstanceId& peer, Revision revision, Instant now) {
    operator_revisions_.RecordPeer(peer, revision, now);
  }
  // Applies changes of the operator's items that a watch of these alone has brought, ahead of other
  // changes.
  void ApplyOperatorChanges(const Store::Changes& changes, const StoreStateOrigin& origin);
  // Derives reachability from a store call made elsewhere in this daemon. Ignored unless relayed
  // updates replace the watch.
  void RecordCallResult(std::error_code error);
  // Notes that another daemon has learned something new from the store. A call that was sent while
  // no daemon did is then repeated, as it may never be answered.
  void RecordPeerProgress(Instant now);

  // When this daemon sent its latest successful read or watch. Every write up to that moment
  // is known here.
  Instant confirmed_at() const { return confirmed_at_; }
  // When the store last answered this daemon, or the daemon that relayed the latest update.
  Instant last_answer_at() const { return last_answer_at_; }
  // Whether the latest store call was answered; false until the contents are loaded.
  bool reachable() const { return reachable_; }
  // Start of the current period of reachability.
  Instant reachable_since() const { return reachable_since_; }
  // Whether the store has been unreachable for at least the given time.
  bool IsUnreachableFor(Duration time, Instant now) const {
    return !reachable_ && now - unreachable_since_ >= time;
  }
  // Whether the contents have been read at least once.
  bool loaded() const { return revision_.value != 0; }
  Revision revision() const { return revision_; }
  UpdateState update_state(Instant now) const;
  const OperatorRevisions& operator_revisions() const { return operator_revisions_; }
  // The recent versions of large values.
  const ValueHistory& values() const { return values_; }

 private:
  // Whether peers have known a change of the operator's for too long that is missing here.
  bool IsChangeOverdue(Instant now) const;
  // Whether relayed updates are recent and complete enough to replace the watch.
  bool HasFreshUpdates(Instant now) const;
  // Has all read anew if a change is missing although all up to its revision seems to be known.
  void ReloadIfIncomplete(Instant now);
  void HandleReadResult(std::error_code error, const Store::Contents& contents);
  void HandleWatchResult(std::error_code error, const Store::Changes& changes);
  // Whether a result belongs to an era before the latest one known.
  bool IsOfEarlierEra(Revision revision) const { return revision.era < latest_era_; }
  // The events that lead from the known items to the contents.
  std::vector<StoreEvent> EventsLeadingTo(const Store::Contents& contents) const;
  // Whether an event of the key at the revision, or a later one, was applied.
  bool IsKnown(const std::string& key, Revision revision) const;
  // Whether an event of the key at the revision is not known yet.
  bool IsNew(const std::string& key, Revision revision) const;
  // Notes that events up to the revision of the update are missing.
  void RecordGap(const StoreUpdate& update, Instant now);
  // Passes new events to the observer.
  void ApplyEvents(const std::vector<StoreEvent>& events, Revision revision,
                   const StoreStateOrigin& origin);
  // Abandons a slow call whose result relayed updates have already delivered, or that was sent
  // before the latest era was known.
  void AbandonUselessCall(Instant now);
  // Gives up the pending call, if there is one; the next one may follow at once.
  void AbandonCall(Instant now);
  // Probes the store if an answer has been missing for some time.
  void ProbeIfDue(Instant now);
  // Gives up calls that a store which answers again has never got, so that they can be repeated.
  void HandleProbeResult(std::error_code error, Instant sent_at);
  // Why the store is called, for the log.
  const char* CallReason(Instant now) const;
  // The size beyond which an answer to a watch takes longer than a read of everything.
  std::size_t MaxWatchBytes() const;
  // Reports a finished call to the observer.
  void ReportCall(StoreStateSource call, std::error_code error, Revision to,
                  const StoreTransfer& transfer);
  // `answered_at` is when the store gave the answer.
  void RecordSuccess(Instant answered_at, std::chrono::milliseconds delay);
  void RecordFailure(std::error_code error);
  void SetReachable(Instant now);
  void SetUnreachable(Instant now, std::error_code error);

  Store& store_;
  StoreObserver& observer_;
  const Clock clock_;
  bool watching_ = true;
  bool call_pending_ = false;
  bool reload_needed_ = true;
  bool reachable_ = false;
  Revision revision_;
  // The latest era known, from the store or from other daemons.
  StoreEra latest_era_;
  StoreEra call_sent_era_;
  Instant call_sent_at_;
  // When another daemon last learned something new from the store, and whether the latest call was
  // sent while none did.
  Instant peer_progress_at_;
  bool sent_in_outage_ = false;
  const char* call_reason_ = "";
  Revision call_sent_revision_;
  Instant next_call_at_;
  Instant next_probe_at_;
  // How long an answer has to be missing before the store is probed.
  std::chrono::milliseconds probe_delay_;
  Instant confirmed_at_;
  Instant last_answer_at_;
  // When the latest answer or complete update arrived.
  Instant last_arrival_at_;
  Instant reachable_since_;
  Instant unreachable_since_;
  std::uint32_t consecutive_failures_ = 0;
  Instant last_update_at_;
  // What is known of a key's item.
  struct KnownItem {
    Revision revision;
    std::size_t value_bytes = 0;
  };
  std::map<std::string, KnownItem> items_;
  // The latest removal of each of the operator's items.
  std::map<std::string, Revision> operator_removals_;
  ValueHistory values_;
  OperatorRevisions operator_revisions_;
  // Relayed events up to this revision may be missing here. They are waited for until the given
  // time if they will be sent again.
  Revision missing_until_;
  Instant missing_updates_expected_until_;
};

}  // namespace sycamorestall
