#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/gossip.h"
#include "core/identifiers.h"
#include "core/outcome.h"
#include "core/uuid_v7.h"

namespace sycamorestall {

// Forwards a caller's request to the leader of its shard's group.
struct ForwardRequest {
  // Chosen by the sender; the ForwardReply repeats it.
  std::uint64_t number = 0;
  ServiceName service;
  ShardId shard;
  std::string key;
  // The numeric value of an http::Method.
  std::uint8_t method = 0;
  CustomerName customer;
  double weight = 1;
  // Milliseconds left until the request's deadline.
  std::uint32_t timeout_ms = 0;
  // The Idempotency-Key; set when the request must run at most once.
  std::optional<UuidV7> command;
  std::string request_id;
  std::string content_type;
  std::string body;

  // Serializes the message with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, service, shard, key, method, customer, weight, timeout_ms, command, request_id,
            content_type, body);
  }
};

// Answers a forwarded request. If the daemon does not lead the group, it names the leader that it
// knows of, if any.
struct ForwardReply {
  std::uint64_t number = 0;
  Answer answer;
  std::optional<LeaderNotice> leader;

  // Serializes the message with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, answer, leader);
  }
};

// Cancels a forwarded request whose caller has disconnected or whose deadline has passed.
struct CancelForward {
  std::uint64_t number = 0;

  // Serializes the message with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number);
  }
};

// Asks a daemon to stop sending orders for a group under terms earlier than the given one.
struct StepDownRequest {
  GroupId group;
  Term term;
  ProcessId earlier_leader;
  ProcessId leader;

  // Serializes the message with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, term, earlier_leader, leader);
  }
};

// Confirms that the process sends no more orders for the group under earlier terms.
struct StepDownReply {
  GroupId group;
  Term term;
  ProcessId earlier_leader;

  // Serializes the message with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, term, earlier_leader);
  }
};

// Asks a daemon to take over a group that the sender has stopped leading.
struct GroupHandOver {
  GroupId group;
  Term term;

  // Serializes the message with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, term);
  }
};

// Asks a daemon for the leaders and the operators' documents that it knows.
struct ClusterStateRequest {
  ConfigVersions known_versions;

  // Serializes the message with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(known_versions);
  }
};

// The leaders and documents that a daemon knows. A document is empty if the requester has that
// version or a later one already.
struct ClusterStateReply {
  std::vector<LeaderNotice> leaders;
  std::string plans;
  std::string customers;

  // Serializes the message with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(leaders, plans, customers);
  }
};

// Asks a group's leader to describe the routing state of a key.
struct ExplainRequest {
  std::uint64_t number = 0;
  ServiceName service;
  std::string key;

  // Serializes the message with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, service, key);
  }
};

// The routing state of a key, as JSON for operators.
struct ExplainReply {
  std::uint64_t number = 0;
  std::string text;

  // Serializes the message with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, text);
  }
};

// Checks that the connection and the peer are still responsive.
struct PeerPing {
  std::uint64_t number = 0;

  // Serializes the message with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number);
  }
};

// Answers a PeerPing.
struct PeerPong {
  std::uint64_t number = 0;

  // Serializes the message with cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number);
  }
};

// Any message between daemons. cereal writes the index of the alternative, so the order must stay.
using PeerMessage =
    std::variant<ForwardRequest, ForwardReply, CancelForward, StepDownRequest, StepDownReply,
                 GroupHandOver, ClusterStateRequest, ClusterStateReply, ExplainRequest,
                 ExplainReply, PeerPing, PeerPong>;

}  // namespace sycamorestall
