#include "core/single_leader_setup.h"

#include <variant>

namespace sycamorestall::testing {

namespace {

constexpr std::chrono::milliseconds kStep{20};

}  // namespace

SingleLeaderSetup::SingleLeaderSetup() {
  fleet.SetServices({ServiceName{"soil"}, ServiceName{"pumps"}});
}

KeyLeaderSettings SingleLeaderSetup::Settings() {
  KeyLeaderSettings settings;
  settings.service = ServiceName{"soil"};
  settings.self = InstanceId{"d"};
  return settings;
}

void SingleLeaderSetup::AddEndpoint(const std::string& id, const std::string& host,
                                    const std::string& service, const std::string& domain,
                                    bool draining) {
  EndpointEntry entry;
  entry.id = InstanceId{id};
  entry.service = ServiceName{service};
  entry.address = {host, 80};
  entry.domain = DomainName{domain};
  entry.draining = draining;
  fleet.Put(entry, now);
}

void SingleLeaderSetup::RunFor(Duration time) {
  StoreView view;
  view.reachable = store_reachable;
  view.reachable_since = reachable_since;
  view.daemons[Settings().self] = 1;
  for (const Instant end = now + time; now <= end; now += kStep) {
    view.confirmed_at = now;
    leader.Tick(fleet, view, now);
    for (const KeyLeaderAction& action : leader.TakeActions()) {
      Execute(action);
    }
  }
}

void SingleLeaderSetup::Execute(const KeyLeaderAction& action) {
  if (const auto* write = std::get_if<WriteOwnership>(&action)) {
    if (!take_write || !take_write(*write)) {
      record = write->record;
      ++revision.value;
      leader.HandleWriteResult(record.change_id, RecordWriteOutcome::kWritten, revision, now);
    }
  } else if (const auto* hand_over = std::get_if<HandOver>(&action)) {
    hand_overs.push_back(*hand_over);
  } else if (const auto* grant = std::get_if<SendGrant>(&action)) {
    if (!take_grant || !take_grant(*grant)) {
      leader.HandleOrderReply(grant->order, ReplyOf(grant->endpoint), now);
    }
  } else if (const auto* release = std::get_if<SendRelease>(&action)) {
    if (!take_release || !take_release(*release)) {
      leader.HandleOrderReply(release->order, ReplyOf(release->endpoint), now);
    }
  }
}

bool SingleLeaderSetup::RunUntilLeading() {
  const Instant latest = now + std::chrono::seconds{10};
  while (!leader.leading() && now < latest) {
    RunFor({});
  }
  return leader.leading();
}

OrderReply SingleLeaderSetup::ReplyOf(const InstanceId& endpoint) const {
  OrderReply reply;
  const auto gone = record.addresses.find(endpoint);
  if (fleet.Find(endpoint) != nullptr) {
    reply.outcome = OrderReply::Outcome::kDone;
  } else if (gone != record.addresses.end() && fleet.IsUsedByAnother(gone->second, endpoint)) {
    reply.outcome = OrderReply::Outcome::kAnotherEndpoint;
  }
  return reply;
}

std::set<InstanceId> SingleLeaderSetup::Owners() const {
  std::set<InstanceId> owners;
  for (const OwnedRange& each : record.ranges) {
    owners.insert(each.owner);
  }
  return owners;
}

ScriptedOwner::ScriptedOwner(SingleLeaderSetup& setup,
                             std::function<Answer(const SendGrant&)> answer_grant,
                             std::function<Answer(const SendRelease&)> answer_release)
    : setup_(setup) {
  setup_.take_grant = [this, answer_grant = std::move(answer_grant)](const SendGrant& grant) {
    if (grant.endpoint == Id()) {
      const Answer answer = answer_grant(grant);
      pending_.push_back({setup_.now + answer.after, grant.order, answer.outcome});
      return true;
    }
    if (grant.grant.range.Contains(0) && !given_on_at_) {
      given_on_at_ = setup_.now;
    }
    return false;
  };
  setup_.take_release = [this,
                         answer_release = std::move(answer_release)](const SendRelease& release) {
    if (release.endpoint != Id()) {
      return false;
    }
    const Answer answer = answer_release(release);
    pending_.push_back({setup_.now + answer.after, release.order, answer.outcome});
    return true;
  };
}

void ScriptedOwner::RunFor(Duration time) {
  for (const Instant end = setup_.now + time; setup_.now < end;) {
    setup_.RunFor({});
    for (const PendingAnswer& answer : std::exchange(pending_, {})) {
      if (answer.at <= setup_.now) {
        Deliver(answer);
      } else {
        pending_.push_back(answer);
      }
    }
  }
}

void ScriptedOwner::Deliver(const PendingAnswer& answer) {
  if (answer.outcome) {
    setup_.leader.HandleOrderReply(answer.order, {*answer.outcome, ""}, setup_.now);
  } else {
    setup_.leader.HandleOrderFailure(answer.order, true, setup_.now);
  }
}

}  // namespace sycamorestall::testing
