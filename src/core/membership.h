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

// Timing and fan-out of the failure detector.
struct MembershipSettings {
  std::chrono::milliseconds probe_period{200};
  std::chrono::milliseconds probe_timeout{80};
  std::chrono::milliseconds suspicion_timeout{400};
  // How many other members are asked to ping a member that does not answer.
  std::size_t indirect_probes = 3;
  // How many other members are informed at once of a suspicion, a death or a refutation.
  std::size_t immediate_sends = 3;
  // How many updates about members, and about leaders, one datagram carries at most.
  std::size_t updates_per_message = 6;
  // How long unlisted members that are dead or have left are remembered.
  std::chrono::milliseconds forget_after{std::chrono::minutes{2}};
};

// A datagram to be sent.
struct OutgoingGossip {
  std::string address;
  GossipMessage message;
};

// Tracks which daemons are alive, by the SWIM protocol: in each period one member is
// probed, first directly and then through others, and updates are piggybacked on the
// datagrams. The cost per daemon does not grow with the number of daemons.
class Membership {
 public:
  Membership(MembershipSettings settings, Member self, std::uint64_t seed);

  // Adds the daemons of the platform's list, and marks those that have left it as dead.
  void UpdateInstances(Instant now, const InstanceList& list);
  // Processes a datagram and queues the answer.
  void Receive(Instant now, const GossipMessage& message);
  // Probes a member at once, as a connection to it was refused or broke.
  void ProbeNow(Instant now, const InstanceId& instance);
  // Starts the probes that are due, and marks members as suspect or dead.
  void Tick(Instant now);
  // Announces to all living members that this daemon leaves.
  void Leave();
  // Sends the leader of a group to every living member at once, since requests wait for
  // it.
  void BroadcastLeader(const LeaderNotice& notice);
  // Sets the configuration versions that each datagram carries.
  void SetConfigVersions(ConfigVersions versions) { versions_ = versions; }

  // Returns the datagrams to send, and clears the queue.
  std::vector<OutgoingGossip> TakeMessages();
  // Returns the leader notices received since the last call, and clears them.
  std::vector<LeaderNotice> TakeLeaderNotices();

  // Whether the process is believed to be alive. Suspects count as alive.
  bool IsAlive(const ProcessId& process) const;
  // Returns the members believed to be alive, including this daemon.
  std::vector<Member> AliveMembers() const;
  // Returns what is known about an instance, or null.
  const Member* Find(const InstanceId& instance) const;
  // The configuration versions that each member reported last.
  const std::map<InstanceId, ConfigVersions>& config_versions() const { return member_versions_; }
  const Member& self() const { return self_; }
  // Changes whenever the set of living members may have changed.
  std::uint64_t generation() const { return generation_; }

 private:
  struct MemberRow {
    Member member;
    Instant since;
  };
  struct Probe {
    InstanceId target;
    std::uint64_t sequence = 0;
    Instant sent;
    bool ping_requests_sent = false;
  };
  // A ping sent for another member, which waits for the acknowledgement.
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
  void SetState(Instant now, MemberRow& row, MemberState state);
  void RefuteIfAlive(const Member& report);
  // Tells a living member that it is believed to be suspect or dead, so that it refutes.
  void InformSuspectedMember(const Member& sender);
  void QueueUpdate(const Member& member);
  void PingAliveMembers();
  // Sends an update to a few members at once. With hundreds of daemons, waiting for the
  // next probes to carry a suspicion, a death or a refutation takes too long.
  void SendUpdateNow(const Member& member);
  std::vector<const MemberRow*> RandomAliveMembers(const InstanceId& except, std::size_t count);
  void SendMessage(const std::string& address, GossipKind kind, std::uint64_t sequence,
                   const InstanceId& target = {});
  void StartProbe(Instant now, const InstanceId& target);
  void SendPingRequests();
  void ExpireProbes(Instant now);
  std::optional<InstanceId> NextProbeTarget();
  int MaxSendsPerUpdate() const;

  MembershipSettings settings_;
  Member self_;
  std::mt19937_64 random_;
  std::map<InstanceId, MemberRow> rows_;
  std::map<InstanceId, ConfigVersions> member_versions_;
  std::set<InstanceId> last_listed_;
  std::vector<InstanceId> probe_queue_;
  std::vector<Probe> probes_;
  std::map<std::uint64_t, Relay> relays_;
  std::map<InstanceId, QueuedUpdate<Member>> queued_members_;
  std::map<GroupId, QueuedUpdate<LeaderNotice>> queued_leaders_;
  std::vector<OutgoingGossip> outgoing_;
  std::vector<LeaderNotice> leader_notices_;
  ConfigVersions versions_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t generation_ = 1;
  Instant next_probe_;
};

}  // namespace sycamorestall
