#include "simulated_group.h"

#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "endpoint/order_json.h"

namespace sycamorestall::bench {

namespace {

constexpr std::chrono::milliseconds kTick{10};

GroupSettings MakeGroupSettings(std::uint32_t shards) {
  GroupSettings settings;
  settings.group = {ServiceName{"soil"}, DomainName{"north"}};
  for (std::uint32_t i = 0; i < shards; ++i) {
    settings.shards.push_back(ShardId{i});
  }
  return settings;
}

}  // namespace

SimulatedGroup::SimulatedGroup(std::uint32_t shards, int endpoints)
    : leader_(MakeGroupSettings(shards), {InstanceId{"daemon"}, Incarnation{1}},
              std::make_unique<StaticPlacement>()) {
  InstanceList list{1, {}};
  for (int i = 0; i < endpoints; ++i) {
    const InstanceId id{"endpoint-" + std::to_string(i)};
    endpoints_.emplace(id, fakes::GrantTable{Incarnation{1}, true});
    list.instances.push_back({id, DomainName{"north"}, ServiceName{"soil"}, "", {}});
  }
  leader_.Claim(now_);
  ExecuteActions();
  leader_.UpdateInstances(now_, list);
  Run(std::chrono::milliseconds{1000});
}

void SimulatedGroup::Run(std::chrono::milliseconds duration) {
  const Instant end = now_ + duration;
  while (now_ < end) {
    now_ += kTick;
    leader_.Tick(now_);
    ExecuteActions();
  }
}

void SimulatedGroup::ExecuteActions() {
  while (true) {
    const std::vector<GroupAction> actions = leader_.TakeActions();
    if (actions.empty()) {
      return;
    }
    for (const GroupAction& action : actions) {
      if (std::holds_alternative<ReadRecord>(action)) {
        leader_.HandleReadResult(now_, std::nullopt);
      } else if (std::holds_alternative<WriteRecord>(action)) {
        leader_.HandleWriteResult(now_, WriteOutcome::kApplied, Revision{++revision_});
      } else if (const auto* send = std::get_if<SendOrder>(&action)) {
        const EndpointReply reply =
            endpoints_.at(send->endpoint).ApplyOrder(now_.time_since_epoch().count(), send->order);
        ++orders_;
        order_bytes_ += FormatOrder(send->order).size();
        reply_bytes_ += FormatReply(reply).size();
        leader_.HandleOrderReply(now_, send->endpoint, send->order.sequence, reply);
      }
    }
  }
}

}  // namespace sycamorestall::bench
