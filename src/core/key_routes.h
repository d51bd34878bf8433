#pragma once

#include <optional>
#include <vector>

#include "core/ownership_record.h"

namespace sycamorestall {

// A range of keys and the endpoint that serves it.
struct ServedRange {
  KeyRange range;
  // Empty while the keys are between two owners.
  InstanceId owner;

  friend bool operator==(const ServedRange&, const ServedRange&) = default;
};

// The message in which a leader tells all daemons which endpoints serve which keys.
struct KeyAnnouncement {
  Term term;
  // Increases with each announcement of a term.
  std::uint64_t sequence = 0;
  // 0 for a full announcement, which lists all keys that are served. Otherwise the
  // announcement lists the changes since the full one with this sequence number.
  std::uint64_t base = 0;
  std::vector<ServedRange> ranges;

  friend bool operator==(const KeyAnnouncement&, const KeyAnnouncement&) = default;
};

// The routes by which a daemon sends requests for the keys of one service: from the
// latest announcement of the leader while it is fresh, otherwise from the record in the
// store.
class KeyRoutes {
 public:
  // Applies the record read from the store.
  void ApplyRecord(const OwnershipRecord& record);
  // Applies an announcement of the leader. Outdated ones are ignored, and so are
  // changes to a full announcement that was not received.
  void ApplyAnnouncement(KeyAnnouncement announcement, Instant now);

  // The endpoint that serves a key; empty if none is known.
  std::optional<InstanceId> OwnerOf(KeyNumber key, Instant now) const;
  // Whether the owner of any key is known.
  bool known() const { return !recorded_ranges_.empty() || !announced_ranges_.empty(); }
  // The highest term known, and the sequence number of the latest announcement (0 if
  // there was none).
  Term term() const { return std::max(term_, announced_term_); }
  std::uint64_t sequence() const { return sequence_; }

 private:
  // Whether the announcement is recent and not of an earlier term than the record.
  bool AnnouncementIsFresh(Instant now) const;

  Term term_;
  std::vector<ServedRange> recorded_ranges_;
  // The latest full announcement, and its ranges with the latest changes applied.
  KeyAnnouncement full_announcement_;
  std::vector<ServedRange> announced_ranges_;
  Term announced_term_;
  std::uint64_t sequence_ = 0;
  std::optional<Instant> announced_at_;
};

// Returns the changes that turn `from` into `to`; both are sorted by key.
std::vector<ServedRange> ComputeChanges(const std::vector<ServedRange>& from,
                                        const std::vector<ServedRange>& to);
// Returns the ranges with the changes applied; both the ranges and the result are
// sorted by key.
std::vector<ServedRange> ApplyChanges(const std::vector<ServedRange>& ranges,
                                      const std::vector<ServedRange>& changes);

}  // namespace sycamorestall
