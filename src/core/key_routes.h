#pragma once

#include <optional>
#include <vector>

#include "core/ownership_record.h"

namespace sycamorestall {

// Keys and who serves them.
struct ServedRange {
  KeyRange range;
  // Empty while the keys are between two owners.
  InstanceId owner;

  friend bool operator==(const ServedRange&, const ServedRange&) = default;
};

// What a leader tells all daemons: which endpoints serve which keys.
struct KeyAnnouncement {
  Term term;
  // Later announcements of one term have higher numbers.
  std::uint64_t sequence = 0;
  // 0: all keys that are served. Otherwise: what has changed since the whole
  // announcement with this number.
  std::uint64_t base = 0;
  std::vector<ServedRange> ranges;

  friend bool operator==(const KeyAnnouncement&, const KeyAnnouncement&) = default;
};

// Where a daemon sends requests for the keys of one service: what the leader
// announced lately, or else what the record says.
class KeyRoutes {
 public:
  // The record in the store is this one.
  void ApplyRecord(const OwnershipRecord& record);
  // The leader announced this; older announcements are passed over.
  void ApplyAnnouncement(KeyAnnouncement announcement, Instant now);

  // Who serves a key; empty while nobody is known to.
  std::optional<InstanceId> OwnerOf(KeyNumber key, Instant now) const;
  // Whether anything is known of any owner.
  bool known() const { return !recorded_.empty() || !current_.empty(); }
  // What routes are taken from now, for the log: the term, and the
  // announcement's number or 0 for the record.
  Term term() const { return std::max(term_, announced_term_); }
  std::uint64_t sequence() const { return sequence_; }

 private:
  bool AnnouncementHolds(Instant now) const;

  Term term_;
  std::vector<ServedRange> recorded_;
  // The latest whole announcement, and the same with the latest changes.
  KeyAnnouncement whole_;
  std::vector<ServedRange> current_;
  Term announced_term_;
  std::uint64_t sequence_ = 0;
  std::optional<Instant> announced_at_;
};

// What turns the first ranges into the second, both sorted by key.
std::vector<ServedRange> ComputeChanges(const std::vector<ServedRange>& from,
                                        const std::vector<ServedRange>& to);
// The ranges, sorted by key, with the changes made to them in their order.
std::vector<ServedRange> ApplyChanges(const std::vector<ServedRange>& ranges,
                                      const std::vector<ServedRange>& changes);

}  // namespace sycamorestall
