#include "core/leadership.h"

#include "core/shard_map.h"

namespace sycamorestall {

bool LeadershipTable::UpdateLeader(const LeaderNotice& notice) {
  std::optional<LeaderNotice>& known = rows_[notice.group].notice;
  if (known && known->term >= notice.term) {
    return false;
  }
  known = notice;
  return true;
}

const LeaderNotice* LeadershipTable::Find(const GroupId& group) const {
  const auto row = rows_.find(group);
  return row == rows_.end() || !row->second.notice ? nullptr : &*row->second.notice;
}

std::optional<Member> LeadershipTable::PreferredLeader(const GroupId& group,
                                                       const std::vector<Member>& alive) {
  const Member* best = nullptr;
  const auto ranks_above = [&group](const Member& a, const Member& b) {
    const bool a_near = a.domain == group.domain;
    const bool b_near = b.domain == group.domain;
    if (a_near != b_near) {
      return a_near;
    }
    return LeadershipScore(group, a.process.instance) > LeadershipScore(group, b.process.instance);
  };
  for (const Member& member : alive) {
    if (member.state == MemberState::kLeft) {
      continue;
    }
    if (best == nullptr || ranks_above(member, *best)) {
      best = &member;
    }
  }
  return best == nullptr ? std::nullopt : std::optional<Member>{*best};
}

LeadershipAdvice LeadershipTable::Advise(Instant now, const GroupId& group,
                                         const Membership& membership) {
  Row& row = rows_[group];
  if (row.generation != membership.generation()) {
    row.generation = membership.generation();
    const std::optional<Member> best = PreferredLeader(group, membership.AliveMembers());
    const ProcessId process = best ? best->process : ProcessId{};
    if (row.best != process) {
      row.best = process;
      row.preferred_since = now;
    }
  }
  const ProcessId& self = membership.self().process;
  const bool leads_group = row.notice && row.notice->leader == self;
  if (leads_group) {
    const bool stable = now >= row.preferred_since + settings_.handover_delay;
    return row.best != self && stable ? LeadershipAdvice::kHandOver : LeadershipAdvice::kNothing;
  }
  const bool leader_lives = row.notice && membership.IsAlive(row.notice->leader);
  const bool too_early = now < start_ + settings_.start_grace;
  if (row.best != self || leader_lives || too_early) {
    return LeadershipAdvice::kNothing;
  }
  if (membership.self().domain == group.domain) {
    return LeadershipAdvice::kClaim;
  }
  const bool waited = now >= row.preferred_since + settings_.other_domain_delay;
  return waited ? LeadershipAdvice::kClaimIfReachable : LeadershipAdvice::kNothing;
}

std::vector<LeaderNotice> LeadershipTable::AllNotices() const {
  std::vector<LeaderNotice> notices;
  for (const auto& [group, row] : rows_) {
    if (row.notice) {
      notices.push_back(*row.notice);
    }
  }
  return notices;
}

}  // namespace sycamorestall
