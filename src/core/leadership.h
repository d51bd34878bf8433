#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "core/boot_clock.h"
#include "core/gossip.h"
#include "core/membership.h"

namespace sycamorestall {

// When a daemon steps in for, or makes way for, another.
struct LeadershipSettings {
  // After its start a daemon waits this long for word of the others.
  std::chrono::milliseconds start_grace{1000};
  // How long a domain must be without a living daemon before one of another
  // domain leads its groups.
  std::chrono::milliseconds other_domain_delay{200};
  // How long a better-placed daemon must live before a group is handed to it.
  std::chrono::milliseconds handover_delay{3000};
};

// What a daemon should do about a group now.
enum class LeadershipAdvice { kNothing, kClaim, kClaimIfReachable, kHandOver };

// Knows the leader of each group and judges which groups this daemon should
// lead. Groups are spread by a score that every daemon computes alike; daemons
// of the group's own failure domain go first.
class LeadershipTable {
 public:
  LeadershipTable(LeadershipSettings settings, Instant start)
      : settings_(settings), start_(start) {}

  // Takes in who leads a group; true when that was news.
  bool UpdateLeader(const LeaderNotice& notice);
  // The leader by the highest term heard of, or null.
  const LeaderNotice* Find(const GroupId& group) const;
  // What to do about the group; for a hand-over, best() of it says to whom.
  LeadershipAdvice Advise(Instant now, const GroupId& group, const Membership& membership);
  // The daemon that should lead the group, given who lives.
  static std::optional<Member> PreferredLeader(const GroupId& group,
                                               const std::vector<Member>& alive);
  // AllNotices notices, for a daemon that has just started.
  std::vector<LeaderNotice> AllNotices() const;

 private:
  struct Row {
    std::optional<LeaderNotice> notice;
    // The best-placed daemon, since when that has been so, and the state of the
    // membership that it was found in.
    ProcessId best;
    Instant preferred_since;
    std::uint64_t generation = 0;
  };

  LeadershipSettings settings_;
  Instant start_;
  std::map<GroupId, Row> rows_;
};

}  // namespace sycamorestall
