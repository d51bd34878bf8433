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
    const bool a_in_domain = a.domain == group.domain;
    const bool b_in_domain = b.domain == group.domain;
    if (a_in_domain != b_in_domain) {
      return a_in_domain;
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
  GroupRow& row = rows_[group];
  if (row.membership_generation != membership.generation()) {
    row.membership_generation = membership.generation();
    const std::optional<Member> best = PreferredLeader(group, membership.AliveMembers());
    const ProcessId process = best ? best->process : ProcessId{};
    if (row.preferred != process) {
      row.preferred = process;
      row.preferred_since = now;
    }
  }
  const ProcessId& self = membership.self().process;
  const bool leads_group = row.notice && row.notice->leader == self;
  if (leads_group) {
    const bool handover_due = now >= row.preferred_since + settings_.handover_delay;
    return row.preferred != self && handover_due ? LeadershipAdvice::kHandOver
                                                 : LeadershipAdvice::kNothing;
  }
  const bool leader_alive = row.notice && membership.IsAlive(row.notice->leader);
  const bool in_start_grace = now < start_ + settings_.start_grace;
  if (row.preferred != self || leader_alive || in_start_grace) {
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
