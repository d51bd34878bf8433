#include <cstdio>
#include <string>
#include <vector>

#include "benchmarks.h"
#include "config/plan_json.h"
#include "core/idempotency_table.h"
#include "core/leadership.h"
#include "core/membership.h"
#include "peer/peer_codec.h"
#include "platform/record_json.h"
#include "simulated_group.h"

namespace sycamorestall::bench {

namespace {

constexpr std::chrono::milliseconds kTick{10};
constexpr int kSimulatedSeconds = 20;

void MeasureOrders() {
  std::printf("### Leader of one group, 14 endpoints\n\n");
  std::printf(
      "| shards | orders a second | order bytes | reply bytes | %% of a core | "
      "record bytes | state bytes |\n|---|---|---|---|---|---|---|\n");
  for (const std::uint32_t shards : {64U, 256U, 1024U, 4096U}) {
    const std::size_t allocated_before = AllocatedBytes();
    SimulatedGroup group(shards, 14);
    const std::size_t state_bytes = AllocatedBytes() - allocated_before;
    const std::uint64_t orders = group.orders();
    const std::uint64_t order_bytes = group.order_bytes();
    const std::uint64_t reply_bytes = group.reply_bytes();
    const double start = ProcessCpuSeconds();
    group.Run(std::chrono::seconds{kSimulatedSeconds});
    const double cpu_share = (ProcessCpuSeconds() - start) / kSimulatedSeconds;
    const double sent_count = static_cast<double>(group.orders() - orders);
    std::printf("| %u | %.1f | %.0f | %.0f | %.2f | %zu | %zu |\n", shards,
                sent_count / kSimulatedSeconds,
                static_cast<double>(group.order_bytes() - order_bytes) / sent_count,
                static_cast<double>(group.reply_bytes() - reply_bytes) / sent_count,
                cpu_share * 100, FormatRecord(group.leader().record()).size(), state_bytes);
  }
  std::printf("\nThe processor time includes the fake endpoints and the JSON of both sides.\n\n");
}

Member MakeMember(int index) {
  const std::string name = "daemon-" + std::to_string(index);
  return {{InstanceId{name}, Incarnation{1}},
          DomainName{"d" + std::to_string(index % 6)},
          "10.0.0.1:" + std::to_string(9000 + index),
          MemberState::kAlive,
          0};
}

void MeasureMembership() {
  std::printf("### Membership of one daemon, without failures\n\n");
  std::printf(
      "| daemons | datagrams sent a second | bytes sent a second | %% of a core | "
      "state bytes |\n|---|---|---|---|---|\n");
  for (const int daemons : {5, 50, 170, 510}) {
    const std::size_t allocated_before = AllocatedBytes();
    Membership membership(MembershipSettings{}, MakeMember(0), 1);
    Instant now{std::chrono::seconds{1}};
    for (int i = 1; i < daemons; ++i) {
      membership.Receive(now, {GossipKind::kAck, 0, MakeMember(i), {}, {}, {}, {}});
    }
    std::uint64_t sent_count = 0;
    std::uint64_t bytes = 0;
    std::uint64_t sequence = 1ULL << 32;
    int next_prober = 1;
    const auto deliver_messages = [&] {
      for (const OutgoingGossip& each : membership.TakeMessages()) {
        ++sent_count;
        bytes += EncodeGossip(each.message).size();
        if (each.message.kind == GossipKind::kPing) {
          membership.Receive(now, {GossipKind::kAck,
                                   each.message.sequence,
                                   MakeMember(std::stoi(each.address.substr(9)) - 9000),
                                   {},
                                   {},
                                   {},
                                   {}});
        }
      }
    };
    const auto simulate = [&](int seconds) {
      for (int tick = 0; tick < seconds * 100; ++tick) {
        now += kTick;
        membership.Tick(now);
        if (tick % 20 == 0) {
          // A daemon is probed as often as it probes others.
          membership.Receive(
              now, {GossipKind::kPing, sequence++, MakeMember(next_prober), {}, {}, {}, {}});
          next_prober = next_prober % (daemons - 1) + 1;
        }
        deliver_messages();
      }
    };
    simulate(200);
    const std::size_t state_bytes = AllocatedBytes() - allocated_before;
    sent_count = 0;
    bytes = 0;
    const double start = ProcessCpuSeconds();
    simulate(kSimulatedSeconds);
    const double cpu_share = (ProcessCpuSeconds() - start) / kSimulatedSeconds;
    std::printf("| %d | %.1f | %.0f | %.3f | %zu |\n", daemons,
                static_cast<double>(sent_count) / kSimulatedSeconds,
                static_cast<double>(bytes) / kSimulatedSeconds, cpu_share * 100, state_bytes);
  }
  std::printf("\n");
}

void MeasureLeadership() {
  std::printf("### Choosing leaders, every 10 ms\n\n");
  std::printf("| daemons | groups | %% of a core |\n|---|---|---|\n");
  for (const int daemons : {5, 170, 510}) {
    const int groups = 24;
    const Instant now{std::chrono::seconds{100}};
    Membership membership(MembershipSettings{}, MakeMember(0), 1);
    for (int i = 1; i < daemons; ++i) {
      membership.Receive(now, {GossipKind::kAck, 0, MakeMember(i), {}, {}, {}, {}});
    }
    LeadershipTable table(LeadershipSettings{}, Instant{});
    const double ns = NanosecondsPerCall(20, [&](std::size_t) {
      for (int i = 0; i < groups; ++i) {
        table.Advise(
            now,
            {ServiceName{"s" + std::to_string(i / 6)}, DomainName{"d" + std::to_string(i % 6)}},
            membership);
      }
    });
    std::printf("| %d | %d | %.2f |\n", daemons, groups, ns * 100 / 1e9 * 100);
  }
  std::printf("\n");
}

void MeasureDocuments() {
  std::printf("### Document of customers\n\n");
  std::printf(
      "| customers | text bytes | state bytes | parse and check, ms |\n|---|---|---|---|\n");
  for (const int customers : {100, 1000, 10000}) {
    std::string json = "{\"customers\":{";
    for (int i = 0; i < customers; ++i) {
      json += (i == 0 ? "\"customer-" : ",\"customer-") + std::to_string(i) + "\":\"large\"";
    }
    json += "}}";
    const std::size_t allocated_before = AllocatedBytes();
    const double start = ProcessCpuSeconds();
    const auto parsed = ParseCustomers(json);
    const double seconds = ProcessCpuSeconds() - start;
    std::printf("| %d | %zu | %zu | %.2f |\n", customers, json.size(),
                AllocatedBytes() - allocated_before, seconds * 1000);
  }
  std::printf("\n");
}

void MeasureCommands() {
  constexpr std::size_t kCommands = 100'000;
  IdempotencyTable commands(IdempotencySettings{});
  const std::size_t allocated_before = AllocatedBytes();
  const WallMilliseconds wall{1'800'000'000'000};
  Answer answer;
  answer.content_type = "application/json";
  answer.body = std::string(120, 'x');
  for (std::size_t i = 0; i < kCommands; ++i) {
    const CommandId id{ServiceName{"pumps"}, CustomerName{"customer-77"}, MakeUuidV7(wall, i, i)};
    commands.Insert(id);
    commands.SetAnswer(id, answer);
  }
  std::printf("### Commands remembered: %.0f bytes each, with an answer of 120 bytes\n\n",
              static_cast<double>(AllocatedBytes() - allocated_before) / kCommands);
}

}  // namespace

void MeasureCapacity() {
  std::printf("## Capacity slopes\n\n");
  MeasureOrders();
  MeasureMembership();
  MeasureLeadership();
  MeasureDocuments();
  MeasureCommands();
}

}  // namespace sycamorestall::bench
