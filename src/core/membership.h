#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/boot_clock.h"
#include "core/gossip.h"
#include "core/instance_list.h"

namespace sycamorestall {

// The pace of the failure detector.
struct MembershipSettings {
  std::chrono::milliseconds probe_period{200};
  std::chrono::milliseconds probe_timeout{80};
  std::chrono::milliseconds suspicion_timeout{400};
  // How many others are asked to try a member that does not answer.
  std::size_t indirect_probes = 3;
  // How many others are told at once of a suspicion_timeout or a death.
  std::size_t immediate_sends = 3;
  // How many updates of each sort append_updates on one datagram.
  std::size_t updates_per_message = 6;
  // How long members that are dead or have left are remembered.
  std::chrono::milliseconds forget_after{std::chrono::minutes{2}};
};

// A datagram to be sent.
struct OutgoingGossip {
  std::string address;
  GossipMessage message;
};

// Knows which daemons live, by the SWIM protocol: each period one member is
// probed, directly and then through others, and what is learnt rides on the
// probes. The cost for a daemon does not grow with their number.
class Membership {
 public:
  Membership(MembershipSettings settings, Member self, std::uint64_t seed);

  // Meets the daemons of the platform's list; forgets those gone from it.
  void UpdateInstances(Instant now, const InstanceList& list);
  // Takes in a datagram.
  void Receive(Instant now, const GossipMessage& message);
  // A connection to the member was refused or broke: it is probed at once.
  void ProbeNow(Instant now, const InstanceId& instance);
  // Probes, suspects and declares dead.
  void Tick(Instant now);
  // Tells others that this daemon leaves.
  void Leave();
  // Spreads who leads a group, at once to every living member: requests wait
  // for that news.
  void BroadcastLeader(const LeaderNotice& notice);
  // The versions that append_updates on each datagram.
  void SetConfigVersions(ConfigVersions versions) { versions_ = versions; }

  // Takes the datagrams to send.
  std::vector<OutgoingGossip> TakeMessages();
  // Takes the leader notices heard since the last call.
  std::vector<LeaderNotice> TakeLeaderNotices();

  // Whether the process is believed to live (a suspect still is).
  bool IsAlive(const ProcessId& process) const;
  // The members believed to live, this daemon among them.
  std::vector<Member> AliveMembers() const;
  // All that is known of an instance, or null.
  const Member* Find(const InstanceId& instance) const;
  // The configuration versions that each member reported last.
  const std::map<InstanceId, ConfigVersions>& versions() const { return member_versions_; }
  const Member& self() const { return self_; }
  // Changes whenever the set of living members does.
  std::uint64_t generation() const { return generation_; }

 private:
  struct Row {
    Member member;
    Instant since;
  };
  struct Probe {
    InstanceId target;
    std::uint64_t sequence = 0;
    Instant sent;
    bool ping_requests_sent = false;
  };
  struct Relay {
    std::string address;
    std::uint64_t sequence = 0;
    Instant sent;
  };
  template <typename Update>
  struct QueuedUpdate {
    Update update;
    int sends_left = 0;
  };

  void ApplyUpdate(Instant now, const Member& member);
  void SetState(Instant now, Row& row, MemberState state);
  void RefuteIfAlive(const Member& claim);
  void InformSuspectedMember(const Member& sender);
  void QueueUpdate(const Member& member);
  void PingAll();
  // Passes a suspicion_timeout, a death or its refutation on at once: waiting for the
  // next probes takes too long among hundreds.
  void SendUpdateNow(const Member& member);
  std::vector<const Row*> RandomAliveMembers(const InstanceId& except, std::size_t count);
  void SendMessage(const std::string& address, GossipKind kind, std::uint64_t sequence,
                   const InstanceId& target = {});
  void StartProbe(Instant now, const InstanceId& target);
  void SendPingRequests();
  void ExpireProbes(Instant now);
  std::optional<InstanceId> NextProbeTarget();
  int SendsPerUpdate() const;

  MembershipSettings settings_;
  Member self_;
  std::mt19937_64 random_;
  std::map<InstanceId, Row> rows_;
  std::map<InstanceId, ConfigVersions> member_versions_;
  std::set<InstanceId> last_listed_;
  std::vector<InstanceId> probe_queue_;
  std::vector<Probe> probes_;
  std::map<std::uint64_t, Relay> relays_;
  std::map<InstanceId, QueuedUpdate<Member>> queued_members_;
  std::map<GroupId, QueuedUpdate<LeaderNotice>> queued_leaders_;
  std::vector<OutgoingGossip> outgoing_;
  std::vector<LeaderNotice> notices_;
  ConfigVersions versions_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t generation_ = 1;
  Instant next_probe_;
};

}  // namespace sycamorestall
