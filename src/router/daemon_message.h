#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/key_demand.h"
#include "core/key_routes.h"
#include "router/record_codec.h"
#include "store/store_news.h"

namespace sycamorestall {

// How many requests of the sender an endpoint has.
struct EndpointLoad {
  InstanceId endpoint;
  std::uint16_t in_flight = 0;

  // Lets cereal read and write the load.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, in_flight);
  }
};

// Requests for keys of a service since the sender's last message.
struct ServiceDemand {
  ServiceName service;
  std::vector<KeyCount> counts;

  // Lets cereal read and write the demand.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, counts);
  }
};

// A part of an announcement; all parts of one have the same sequence number.
struct AnnouncementPart {
  ServiceName service;
  Term term;
  std::uint64_t sequence = 0;
  std::uint64_t base_sequence = 0;
  std::uint16_t part_index = 0;
  std::uint16_t part_count = 1;
  std::vector<ServedRange> ranges;
};

// A key that an endpoint said it does not hold, though it was announced so.
struct NotOwnerReport {
  ServiceName service;
  KeyNumber key = 0;
  InstanceId endpoint;
};

// Asks a daemon to renew a stopping leader's grants while the store is away.
struct LeadershipHandOver {
  ServiceName service;
  // The ownership record as the store would keep it.
  EncodedRecord record;
  // How long ago the leader heard the store.
  std::uint32_t confirmed_ms_ago = 0;
};

// What daemons tell each other in one datagram.
struct DaemonMessage {
  InstanceId sender;
  DomainName domain;
  // Whether the sender is about to end.
  bool stopping = false;
  // Whether the sender has not reached the store for a while.
  bool store_unreachable = false;
  std::vector<EndpointLoad> loads;
  std::vector<ServiceDemand> demands;
  std::vector<AnnouncementPart> announcements;
  std::vector<NotOwnerReport> not_owner_reports;
  std::vector<LeadershipHandOver> leadership_hand_overs;
  std::vector<StoreNews> news;
};

// The message as bytes.
std::string EncodeMessage(const DaemonMessage& message);
// Reads a message; empty when the bytes are not one.
std::optional<DaemonMessage> DecodeMessage(const std::string& bytes);

}  // namespace sycamorestall
