#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/crashing_requests.h"
#include "core/key_demand.h"
#include "core/key_routes.h"
#include "router/record_codec.h"
#include "store/store_update.h"

namespace sycamorestall {

// The number of the sender's requests in flight at an endpoint.
struct EndpointLoad {
  InstanceId endpoint;
  std::uint16_t in_flight = 0;

  // Serialization by cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, in_flight);
  }
};

// The same, with the hash of the endpoint's id that EndpointHashes gives.
struct HashedLoad {
  std::uint16_t endpoint_hash = 0;
  std::uint16_t in_flight = 0;

  friend bool operator==(const HashedLoad&, const HashedLoad&) = default;
};

// An endpoint said in an answer that it is being removed from service.
struct DrainReport {
  InstanceId endpoint;
  Incarnation incarnation;

  // Serialization by cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, incarnation);
  }
};

// Requests for each key of a service, counted since the sender's last message.
struct ServiceDemand {
  ServiceName service;
  std::vector<KeyCount> counts;

  // Serialization by cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, counts);
  }
};

// Requests that the sender got answered by an endpoint since its last message.
struct EndpointTimes {
  InstanceId endpoint;
  std::uint16_t count = 0;
  std::uint32_t mean_us = 0;

  // Serialization by cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, count, mean_us);
  }
};

// One datagram's part of a KeyAnnouncement; all parts share its sequence number.
struct AnnouncementPart {
  ServiceName service;
  Term term;
  std::uint64_t sequence = 0;
  // Sequence number of the full announcement that the ranges change; 0 if the ranges are a full
  // set themselves.
  std::uint64_t base_sequence = 0;
  std::uint16_t part_index = 0;
  std::uint16_t part_count = 1;
  std::vector<ServedRange> ranges;
};

// An endpoint rejected a request because it does not hold the key, although it was
// announced as the owner.
struct NotOwnerReport {
  ServiceName service;
  KeyNumber key = 0;
  InstanceId endpoint;
};

// Asks a daemon for the store updates after a revision, as some did not arrive.
struct UpdateRequest {
  Revision known;

  // Serialization by cereal.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(known);
  }
};

// Asks a daemon to renew a stopping leader's grants while the store is unreachable.
struct LeadershipHandOver {
  ServiceName service;
  // The ownership record in the format of the store.
  EncodedRecord record;
  // Milliseconds since the leader last had its view confirmed by the store.
  std::uint32_t confirmed_ms_ago = 0;
};

// A datagram from one daemon to another.
struct DaemonMessage {
  InstanceId sender;
  DomainName domain;
  // Whether the sender is shutting down.
  bool stopping = false;
  // Whether the sender has been unable to reach the store for some time.
  bool store_unreachable = false;
  // Requests in flight at endpoints whose hashes are ambiguous, and at all others in ascending
  // order of the hashes.
  std::vector<EndpointLoad> loads;
  std::vector<HashedLoad> hashed_loads;
  std::vector<ServiceDemand> demands;
  std::vector<AnnouncementPart> announcements;
  std::vector<NotOwnerReport> not_owner_reports;
  // Listed endpoints that announced that they are draining while their entries say otherwise.
  std::vector<DrainReport> drain_reports;
  std::vector<LeadershipHandOver> leadership_hand_overs;
  std::vector<StoreUpdate> store_updates;
  std::vector<UpdateRequest> update_requests;
  // The revision up to which the sender knows the store; 0 if it does not.
  Revision store_revision;
  // The latest revision at which the sender knows an item of the operator's to have changed.
  Revision operator_revision;
  // Whether the sender knows the store's changes of the last seconds.
  bool knows_recent_changes = false;
  // The sender's capacity relative to other daemons.
  double weight = 0;
  // For the leader of the endpoints' keys, which by itself measures too few of them.
  std::vector<EndpointTimes> service_times;
  // Endpoints that crashed while they ran a request.
  std::vector<CrashReport> crash_reports;
};

// Serializes a message.
std::string EncodeMessage(const DaemonMessage& message);
// Deserializes a message; empty if the bytes are malformed.
std::optional<DaemonMessage> DecodeMessage(const std::string& bytes);

}  // namespace sycamorestall
