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
  std::chrono::milliseconds suspicion{400};
  // How many others are asked to try a member that does not answer.
  std::size_t helpers = 3;
  // How many others are told at once of a suspicion or a death.
  std::size_t told_at_once = 3;
  // How many updates of each sort ride on one datagram.
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
  void TakeInstances(Instant now, const InstanceList& list);
  // Takes in a datagram.
  void Receive(Instant now, const GossipMessage& message);
  // A connection to the member was refused or broke: it is probed at once.
  void Doubt(Instant now, const InstanceId& instance);
  // Probes, suspects and declares dead.
  void Tick(Instant now);
  // Tells others that this daemon leaves.
  void Leave();
  // Spreads who leads a group, at once to every living member: requests wait
  // for that news.
  void Announce(const LeaderNotice& notice);
  // The versions that ride on each datagram.
  void SetVersions(ConfigVersions versions) { versions_ = versions; }

  // Takes the datagrams to send.
  std::vector<OutgoingGossip> TakeMessages();
  // Takes the leader notices heard since the last call.
  std::vector<LeaderNotice> TakeNotices();

  // Whether the process is believed to live (a suspect still is).
  bool IsAlive(const ProcessId& process) const;
  // The members believed to live, this daemon among them.
  std::vector<Member> Alive() const;
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
    bool helpers_asked = false;
  };
  struct Relay {
    std::string address;
    std::uint64_t sequence = 0;
    Instant sent;
  };
  template <typename Update>
  struct Rumour {
    Update update;
    int sends_left = 0;
  };

  void Learn(Instant now, const Member& member);
  void Change(Instant now, Row& row, MemberState state);
  void Refute(const Member& rumour);
  void TellOfDoubt(const Member& sender);
  void Spread(const Member& member);
  void PingAll();
  // Passes a suspicion, a death or its refutation on at once: waiting for the
  // next probes takes too long among hundreds.
  void PassOn(const Member& member);
  std::vector<const Row*> SomeOthers(const InstanceId& except, std::size_t count);
  void Send(const std::string& address, GossipKind kind, std::uint64_t sequence,
            const InstanceId& target = {});
  void StartProbe(Instant now, const InstanceId& target);
  void AskHelpers();
  void FinishProbes(Instant now);
  std::optional<InstanceId> NextTarget();
  int SendsPerRumour() const;

  MembershipSettings settings_;
  Member self_;
  std::mt19937_64 random_;
  std::map<InstanceId, Row> rows_;
  std::map<InstanceId, ConfigVersions> member_versions_;
  std::set<InstanceId> listed_before_;
  std::vector<InstanceId> round_;
  std::vector<Probe> probes_;
  std::map<std::uint64_t, Relay> relays_;
  std::map<InstanceId, Rumour<Member>> member_rumours_;
  std::map<GroupId, Rumour<LeaderNotice>> leader_rumours_;
  std::vector<OutgoingGossip> outgoing_;
  std::vector<LeaderNotice> notices_;
  ConfigVersions versions_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t generation_ = 1;
  Instant next_probe_;
};

}  // namespace sycamorestall
