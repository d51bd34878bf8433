#include "core/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamorestall {

namespace {

// Each update is sent this many times the binary logarithm of the member count.
constexpr double kSendsFactor = 3;

bool Supersedes(const Member& update, const Member& known) {
  if (update.process.incarnation != known.process.incarnation) {
    return update.process.incarnation > known.process.incarnation;
  }
  if (update.refutations != known.refutations) {
    return update.refutations > known.refutations;
  }
  return update.state > known.state;
}

}  // namespace

Membership::Membership(MembershipSettings settings, Member self, std::uint64_t seed)
    : settings_(settings), self_(std::move(self)), random_(seed) {
  QueueUpdate(self_);
}

int Membership::MaxSendsPerUpdate() const {
  const double members = static_cast<double>(rows_.size()) + 2;
  return static_cast<int>(std::ceil(kSendsFactor * std::log2(members)));
}

void Membership::QueueUpdate(const Member& member) {
  ++generation_;
  queued_members_[member.process.instance] = {member, MaxSendsPerUpdate()};
}

std::vector<const Membership::MemberRow*> Membership::RandomAliveMembers(const InstanceId& except,
                                                                         std::size_t count) {
  std::vector<const MemberRow*> others;
  for (const auto& [id, row] : rows_) {
    if (id != except && row.member.state == MemberState::kAlive) {
      others.push_back(&row);
    }
  }
  std::shuffle(others.begin(), others.end(), random_);
  others.resize(std::min(others.size(), count));
  return others;
}

void Membership::SendUpdateNow(const Member& member) {
  for (const MemberRow* row :
       RandomAliveMembers(member.process.instance, settings_.immediate_sends)) {
    GossipMessage message{GossipKind::kPing, next_sequence_++, self_, {}, versions_, {}, {}};
    message.members.push_back(member);
    outgoing_.push_back({row->member.address, std::move(message)});
  }
}

void Membership::SetState(Instant now, MemberRow& row, MemberState state) {
  row.member.state = state;
  row.since = now;
  QueueUpdate(row.member);
  SendUpdateNow(row.member);
}

void Membership::BroadcastLeader(const LeaderNotice& notice) {
  queued_leaders_[notice.group] = {notice, MaxSendsPerUpdate() + static_cast<int>(rows_.size())};
  PingAliveMembers();
}

void Membership::PingAliveMembers() {
  for (const auto& [id, row] : rows_) {
    if (row.member.state < MemberState::kDead) {
      SendMessage(row.member.address, GossipKind::kPing, next_sequence_++);
    }
  }
}

void Membership::UpdateInstances(Instant now, const InstanceList& list) {
  std::set<InstanceId> listed;
  for (const Instance& instance : list.instances) {
    const bool is_daemon = instance.service.empty();
    if (!is_daemon || instance.id == self_.process.instance) {
      continue;
    }
    listed.insert(instance.id);
    if (!rows_.contains(instance.id)) {
      // Its incarnation is known from its first answer on.
      Member member{{instance.id, {}}, instance.domain, instance.address, MemberState::kSuspect, 0};
      rows_[instance.id] = {std::move(member), now};
      StartProbe(now, instance.id);
    }
  }
  for (const InstanceId& id : last_listed_) {
    const auto row = rows_.find(id);
    if (!listed.contains(id) && row != rows_.end()) {
      row->second.member.state = MemberState::kDead;
      row->second.since = now;
      ++generation_;
    }
  }
  last_listed_ = std::move(listed);
}

void Membership::ApplyUpdate(Instant now, const Member& member) {
  if (member.process.instance == self_.process.instance) {
    RefuteIfAlive(member);
    return;
  }
  const auto found = rows_.find(member.process.instance);
  if (found != rows_.end() && !Supersedes(member, found->second.member)) {
    return;
  }
  const bool is_relevant = found != rows_.end() || member.state < MemberState::kDead;
  if (!is_relevant) {
    return;
  }
  const bool send_now = member.state != MemberState::kAlive || member.refutations > 0;
  rows_[member.process.instance] = {member, now};
  QueueUpdate(member);
  if (send_now) {
    SendUpdateNow(member);
  }
}

void Membership::RefuteIfAlive(const Member& report) {
  const bool about_this_run = report.process.incarnation == self_.process.incarnation;
  const bool must_refute =
      report.state != MemberState::kAlive && self_.state == MemberState::kAlive;
  if (!about_this_run || !must_refute || report.refutations < self_.refutations) {
    return;
  }
  self_.refutations = report.refutations + 1;
  QueueUpdate(self_);
}

void Membership::InformSuspectedMember(const Member& sender) {
  const auto row = rows_.find(sender.process.instance);
  const bool suspected = row != rows_.end() && row->second.member.state != MemberState::kAlive &&
                         row->second.member.process == sender.process &&
                         row->second.member.refutations >= sender.refutations;
  if (!suspected || sender.state != MemberState::kAlive) {
    return;
  }
  // It is alive, but only the member itself can raise its refutation count to say so, and
  // the update that it has to refute may no longer be circulating.
  GossipMessage message{GossipKind::kPing, next_sequence_++, self_, {}, versions_, {}, {}};
  message.members.push_back(row->second.member);
  outgoing_.push_back({sender.address, std::move(message)});
}

void Membership::Receive(Instant now, const GossipMessage& message) {
  ApplyUpdate(now, message.sender);
  InformSuspectedMember(message.sender);
  for (const Member& member : message.members) {
    ApplyUpdate(now, member);
  }
  leader_notices_.insert(leader_notices_.end(), message.leaders.begin(), message.leaders.end());
  member_versions_[message.sender.process.instance] = message.versions;
  const std::string& from = message.sender.address;
  if (message.kind == GossipKind::kPing) {
    SendMessage(from, GossipKind::kAck, message.sequence);
    return;
  }
  if (message.kind == GossipKind::kPingRequest) {
    const auto row = rows_.find(message.target);
    if (row != rows_.end()) {
      relays_[next_sequence_] = {from, message.sequence, now};
      SendMessage(row->second.member.address, GossipKind::kPing, next_sequence_++);
    }
    return;
  }
  const auto relay = relays_.find(message.sequence);
  if (relay != relays_.end()) {
    SendMessage(relay->second.address, GossipKind::kAck, relay->second.sequence);
    relays_.erase(relay);
    return;
  }
  std::erase_if(probes_, [&](const Probe& probe) { return probe.sequence == message.sequence; });
}

void Membership::ProbeNow(Instant now, const InstanceId& instance) {
  const bool probing = std::any_of(probes_.begin(), probes_.end(),
                                   [&](const Probe& probe) { return probe.target == instance; });
  if (rows_.contains(instance) && !probing) {
    StartProbe(now, instance);
  }
}

void Membership::StartProbe(Instant now, const InstanceId& target) {
  probes_.push_back({target, next_sequence_, now, false});
  SendMessage(rows_.at(target).member.address, GossipKind::kPing, next_sequence_++);
}

std::optional<InstanceId> Membership::NextProbeTarget() {
  while (true) {
    if (probe_queue_.empty()) {
      for (const auto& [id, row] : rows_) {
        probe_queue_.push_back(id);
      }
      std::shuffle(probe_queue_.begin(), probe_queue_.end(), random_);
    }
    if (probe_queue_.empty()) {
      return std::nullopt;
    }
    const InstanceId id = probe_queue_.back();
    probe_queue_.pop_back();
    // Dead members are probed as well, so that the end of a network partition is noticed.
    if (rows_.contains(id)) {
      return id;
    }
  }
}

void Membership::SendPingRequests() {
  for (Probe& probe : probes_) {
    if (probe.ping_requests_sent) {
      continue;
    }
    probe.ping_requests_sent = true;
    for (const MemberRow* row : RandomAliveMembers(probe.target, settings_.indirect_probes)) {
      SendMessage(row->member.address, GossipKind::kPingRequest, probe.sequence, probe.target);
    }
  }
}

void Membership::ExpireProbes(Instant now) {
  std::vector<Probe> pending;
  for (Probe& probe : probes_) {
    const auto row = rows_.find(probe.target);
    if (row == rows_.end()) {
      continue;
    }
    if (now < probe.sent + settings_.probe_period) {
      pending.push_back(probe);
      continue;
    }
    if (row->second.member.state == MemberState::kAlive) {
      SetState(now, row->second, MemberState::kSuspect);
    }
  }
  probes_ = std::move(pending);
}

void Membership::Tick(Instant now) {
  const bool any_probe_late = std::any_of(probes_.begin(), probes_.end(), [&](const Probe& probe) {
    return !probe.ping_requests_sent && now >= probe.sent + settings_.probe_timeout;
  });
  if (any_probe_late) {
    SendPingRequests();
  }
  ExpireProbes(now);
  for (auto& [id, row] : rows_) {
    if (row.member.state == MemberState::kSuspect &&
        now >= row.since + settings_.suspicion_timeout) {
      SetState(now, row, MemberState::kDead);
    }
  }
  std::erase_if(rows_, [&](const auto& entry) {
    const bool is_gone = entry.second.member.state >= MemberState::kDead;
    return is_gone && !last_listed_.contains(entry.first) &&
           now >= entry.second.since + settings_.forget_after;
  });
  std::erase_if(relays_, [&](const auto& entry) {
    return now >= entry.second.sent + settings_.probe_period;
  });
  if (now < next_probe_) {
    return;
  }
  next_probe_ = now + settings_.probe_period;
  const std::optional<InstanceId> target = NextProbeTarget();
  if (target) {
    StartProbe(now, *target);
  }
}

void Membership::Leave() {
  ++generation_;
  self_.state = MemberState::kLeft;
  QueueUpdate(self_);
  PingAliveMembers();
}

void Membership::SendMessage(const std::string& address, GossipKind kind, std::uint64_t sequence,
                             const InstanceId& target) {
  GossipMessage message{kind, sequence, self_, target, versions_, {}, {}};
  const auto append_updates = [this](auto& queue, auto& updates) {
    for (auto each = queue.begin();
         each != queue.end() && updates.size() < settings_.updates_per_message;) {
      updates.push_back(each->second.update);
      each = --each->second.sends_left <= 0 ? queue.erase(each) : std::next(each);
    }
  };
  append_updates(queued_members_, message.members);
  append_updates(queued_leaders_, message.leaders);
  outgoing_.push_back({address, std::move(message)});
}

std::vector<OutgoingGossip> Membership::TakeMessages() { return std::exchange(outgoing_, {}); }

std::vector<LeaderNotice> Membership::TakeLeaderNotices() {
  return std::exchange(leader_notices_, {});
}

bool Membership::IsAlive(const ProcessId& process) const {
  if (process == self_.process) {
    return true;
  }
  const Member* member = Find(process.instance);
  return member != nullptr && member->process == process && member->state < MemberState::kDead;
}

std::vector<Member> Membership::AliveMembers() const {
  std::vector<Member> alive{self_};
  for (const auto& [id, row] : rows_) {
    const bool has_answered = row.member.process.incarnation.value != 0;
    if (has_answered && row.member.state < MemberState::kDead) {
      alive.push_back(row.member);
    }
  }
  return alive;
}

const Member* Membership::Find(const InstanceId& instance) const {
  const auto row = rows_.find(instance);
  return row == rows_.end() ? nullptr : &row->second.member;
}

}  // namespace sycamorestall
