#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/group_record.h"
#include "core/identifiers.h"

namespace sycamorestall {

// The state of a daemon, as another one believes it to be. With equal refutation counts,
// later states override earlier ones; a higher count overrides any state.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// One daemon, as another one knows it.
struct Member {
  ProcessId process;
  DomainName domain;
  // IP address and port, the same for UDP and TCP.
  std::string address;
  MemberState state = MemberState::kAlive;
  // How often this run of the daemon has refuted a report that it is suspect or dead. Only
  // the daemon itself raises it; SWIM calls it the incarnation number.
  std::uint64_t refutations = 0;

  friend bool operator==(const Member&, const Member&) = default;

  // Lets cereal read and write the member.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(process, domain, address, state, refutations);
  }
};

// Names the leader of a group in a term.
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

// The versions of the operators' configuration lists that are in force on a daemon.
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

// The kind of a membership datagram. A ping request asks its receiver to ping another
// member.
enum class GossipKind : std::uint8_t { kPing, kAck, kPingRequest };

// A membership datagram. All kinds also carry updates about members and group leaders.
struct GossipMessage {
  GossipKind kind = GossipKind::kPing;
  std::uint64_t sequence = 0;
  Member sender;
  // For a ping request: whom to ping for the sender.
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
