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

// A caller's request on its way to the leader of its shard's group.
struct ForwardRequest {
  std::uint64_t number = 0;
  ServiceName service;
  ShardId shard;
  std::string key;
  std::uint8_t method = 0;
  CustomerName customer;
  double weight = 1;
  // Time left until the caller gives up, in milliseconds.
  std::uint32_t timeout_ms = 0;
  std::optional<UuidV7> command;
  std::string request_id;
  std::string content_type;
  std::string body;

  // Lets cereal read and write the message.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, service, shard, key, method, customer, weight, timeout_ms, command, request_id,
            content_type, body);
  }
};

// The answer to a forwarded request. A daemon that does not lead the group
// says who does, if it knows.
struct ForwardReply {
  std::uint64_t number = 0;
  Answer answer;
  std::optional<LeaderNotice> leader;

  // Lets cereal read and write the message.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, answer, leader);
  }
};

// The caller of a forwarded request has left.
struct CancelForward {
  std::uint64_t number = 0;

  // Lets cereal read and write the message.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number);
  }
};

// Asks a daemon to send no more orders to a group under terms below the given.
struct StepDownRequest {
  GroupId group;
  Term term;
  ProcessId earlier;
  ProcessId leader;

  // Lets cereal read and write the message.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, term, earlier, leader);
  }
};

// Says that the process sends no more orders to the group under older terms.
struct StepDownReply {
  GroupId group;
  Term term;
  ProcessId earlier;

  // Lets cereal read and write the message.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, term, earlier);
  }
};

// Asks a daemon to take a group over from the sender, which leads it no longer.
struct HandOver {
  GroupId group;
  Term term;

  // Lets cereal read and write the message.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, term);
  }
};

// Asks for all that a daemon knows: leaders and the operators' documents.
struct KnowledgeRequest {
  ConfigVersions have;

  // Lets cereal read and write the message.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(have);
  }
};

// What a daemon knows. Documents that the asker has already are left empty.
struct KnowledgeReply {
  std::vector<LeaderNotice> leaders;
  std::string plans;
  std::string customers;

  // Lets cereal read and write the message.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(leaders, plans, customers);
  }
};

// Asks a group's leader how a key stands.
struct ExplainRequest {
  std::uint64_t number = 0;
  ServiceName service;
  std::string key;

  // Lets cereal read and write the message.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, service, key);
  }
};

// How a key stands, as JSON for people.
struct ExplainReply {
  std::uint64_t number = 0;
  std::string text;

  // Lets cereal read and write the message.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, text);
  }
};

// Asks whether the link still carries anything.
struct LinkPing {
  std::uint64_t number = 0;

  // Lets cereal read and write the message.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number);
  }
};

// The answer to a ping.
struct LinkPong {
  std::uint64_t number = 0;

  // Lets cereal read and write the message.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number);
  }
};

// Any message between daemons.
using PeerMessage = std::variant<ForwardRequest, ForwardReply, CancelForward, StepDownRequest,
                                 StepDownReply, HandOver, KnowledgeRequest, KnowledgeReply,
                                 ExplainRequest, ExplainReply, LinkPing, LinkPong>;

}  // namespace sycamorestall
