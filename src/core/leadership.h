#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "core/boot_clock.h"
#include "core/gossip.h"
#include "core/membership.h"

namespace sycamorestall {

// Configures when a daemon claims the leadership of a group or hands it over.
struct LeadershipSettings {
  // How long a daemon waits after its start to hear from the others before it claims.
  std::chrono::milliseconds start_grace{1000};
  // How long a daemon must be the preferred leader of a group of another failure domain
  // before it claims that group. It is preferred only while that domain has no living
  // daemon.
  std::chrono::milliseconds other_domain_delay{200};
  // How long another daemon must be the preferred leader before a group is handed to it.
  std::chrono::milliseconds handover_delay{3000};
};

// What a daemon should do about a group now. Claims of groups of another failure domain
// depend on whether an endpoint of the group can be reached.
enum class LeadershipAdvice { kNothing, kClaim, kClaimIfReachable, kHandOver };

// Stores the leader of each group and advises which groups this daemon should lead. Each
// group prefers daemons of its own failure domain, and among them the one with the highest
// score. All daemons compute the same scores.
class LeadershipTable {
 public:
  LeadershipTable(LeadershipSettings settings, Instant start)
      : settings_(settings), start_(start) {}

  // Stores the leader of a group if its term is higher than the known one. Returns whether
  // it was.
  bool UpdateLeader(const LeaderNotice& notice);
  // Returns the leader with the highest term known, or null.
  const LeaderNotice* Find(const GroupId& group) const;
  // Returns what to do about the group. PreferredLeader() names the target of a handover.
  LeadershipAdvice Advise(Instant now, const GroupId& group, const Membership& membership);
  // Returns the daemon that should lead the group; empty if none of `alive` can.
  static std::optional<Member> PreferredLeader(const GroupId& group,
                                               const std::vector<Member>& alive);
  // Returns the known leaders of all groups, for a daemon that has just started.
  std::vector<LeaderNotice> AllNotices() const;

 private:
  struct GroupRow {
    std::optional<LeaderNotice> notice;
    // The preferred leader, since when it has been preferred, and the generation of the
    // membership that it was computed for.
    ProcessId preferred;
    Instant preferred_since;
    std::uint64_t membership_generation = 0;
  };

  LeadershipSettings settings_;
  Instant start_;
  std::map<GroupId, GroupRow> rows_;
};

}  // namespace sycamorestall
