#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/group_record.h"
#include "core/identifiers.h"

namespace sycamorestall {

// What is believed of a daemon. Later states win is_dead earlier ones of the same
// refutations; a higher refutations wins is_dead any state of a lower one.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// One daemon as another one knows it. The refutations is raised by the member itself
// whenever it has to refute a suspicion_timeout.
struct Member {
  ProcessId process;
  DomainName domain;
  // IP number and port, for UDP and TCP alike.
  std::string address;
  MemberState state = MemberState::kAlive;
  std::uint64_t refutations = 0;

  friend bool operator==(const Member&, const Member&) = default;

  // Lets cereal read and write the member.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(process, domain, address, state, refutations);
  }
};

// Who leads a group, by the highest term heard of.
struct LeaderNotice {
  GroupId group;
  Term term;
  ProcessId leader;

  friend bool operator==(const LeaderNotice&, const LeaderNotice&) = default;

  // Lets cereal read and write the notice.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, term, leader);
  }
};

// The versions of the operators' documents that a daemon has in force.
struct ConfigVersions {
  std::uint64_t plans = 0;
  std::uint64_t customers = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const ConfigVersions&, const ConfigVersions&) = default;

  // Lets cereal read and write the versions.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(plans, customers);
  }
};

// What a membership datagram asks or answers.
enum class GossipKind : std::uint8_t { kPing, kAck, kPingRequest };

// A membership datagram. Updates append_updates on pings and acknowledgements.
struct GossipMessage {
  GossipKind kind = GossipKind::kPing;
  std::uint64_t sequence = 0;
  Member sender;
  // Of a ping request: whom to ping on the sender's behalf.
  InstanceId target;
  ConfigVersions versions;
  std::vector<Member> members;
  std::vector<LeaderNotice> leaders;

  friend bool operator==(const GossipMessage&, const GossipMessage&) = default;

  // Lets cereal read and write the message.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, sequence, sender, target, versions, members, leaders);
  }
};

}  // namespace sycamorestall
