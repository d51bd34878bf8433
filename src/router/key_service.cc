#include "router/key_service.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "clock/system_clock.h"
#include "router/record_codec.h"

namespace sycamorestall {

namespace {

constexpr std::chrono::milliseconds kOrderConnectTimeout{400};
constexpr std::chrono::milliseconds kGrantPatience{700};
// A release is answered when the work on its keys has ended.
constexpr std::chrono::milliseconds kReleasePatience{3000};
// Announcements are repeated, as datagrams get lost.
constexpr std::chrono::milliseconds kAnnounceInterval{800};
// Ranges in one datagram.
constexpr std::size_t kRangesPerPart = 24;

RecordVerdict VerdictOf(std::error_code error) {
  if (!error) {
    return RecordVerdict::kWritten;
  }
  if (error == StoreError::kConflict) {
    return RecordVerdict::kConflict;
  }
  return error == StoreError::kRefused ? RecordVerdict::kNotWritten : RecordVerdict::kUnknown;
}

}  // namespace

KeyService::KeyService(KeyLeaderSettings settings, Store& store, ConnectionPool& pool,
                       const OrderFormat& format)
    : settings_(settings),
      store_(store),
      pool_(pool),
      format_(format),
      leader_(std::move(settings), std::make_unique<DensePiecePlacement>()) {}

void KeyService::TakeRecord(const StoreItem& item, Instant now) {
  OwnershipRecord record;
  if (!item.value.empty()) {
    std::string problem;
    const auto decoded = DecodeRecord(item.value, problem);
    if (!decoded) {
      log_.Error("record not understood key=" + item.key + " reason=" + problem);
      return;
    }
    record = *decoded;
  }
  leader_.TakeRecord(record, item.value.empty() ? Revision{} : item.revision, now);
  routes_.TakeRecord(record);
  RunActions();
}

void KeyService::TakeAnnouncement(const AnnouncementPart& part, Instant now) {
  const bool newer = part.term > partial_.term ||
                     (part.term == partial_.term && part.sequence > partial_.sequence);
  if (newer) {
    partial_ = {part.term, part.sequence, {}};
    partial_parts_.clear();
  }
  if (part.term != partial_.term || part.sequence != partial_.sequence ||
      !partial_parts_.insert(part.part).second) {
    return;
  }
  partial_.served.insert(partial_.served.end(), part.served.begin(), part.served.end());
  if (partial_parts_.size() == part.parts) {
    routes_.TakeAnnouncement(partial_, now);
  }
}

std::vector<KeyCount> KeyService::TakeCounts() {
  std::vector<KeyCount> counts;
  counts.reserve(counts_.size());
  for (const auto& [key, count] : counts_) {
    counts.push_back({key, count});
  }
  counts_.clear();
  leader_.TakeDemand(counts);
  return counts;
}

void KeyService::Tick(const EndpointFleet& fleet, const StoreView& view, Instant now) {
  leader_.Tick(fleet, view, now);
  RunActions();
}

void KeyService::RunActions() {
  for (const KeyLeaderAction& action : leader_.TakeActions()) {
    std::visit([this](const auto& each) { Run(each); }, action);
  }
}

void KeyService::Run(const WriteOwnership& action) {
  const std::string key = std::string{kOwnershipPrefix} + settings_.service.value();
  StoreChange change;
  change.conditions.push_back({key, action.expected});
  change.puts.push_back({key, EncodeRecord(action.record), {}});
  store_.Commit(change,
                [this, id = action.record.change_id](std::error_code error, Revision revision) {
                  if (error) {
                    log_.Warning("record write failed change=" + id + " reason=" + error.message());
                  }
                  leader_.TakeWrite(id, VerdictOf(error), revision, BootNow());
                  RunActions();
                });
}

void KeyService::Run(const SendGrant& action) {
  SendOrder(action.order, action.endpoint, action.address,
            format_.WriteGrant(action.endpoint, action.grant), kGrantPatience);
}

void KeyService::Run(const SendRelease& action) {
  SendOrder(action.order, action.endpoint, action.address,
            format_.WriteRelease(action.endpoint, action.range, action.token), kReleasePatience);
}

void KeyService::Run(const HandOver& action) {
  const auto ago =
      std::chrono::duration_cast<std::chrono::milliseconds>(BootNow() - action.confirmed_at);
  hand_over_ = {settings_.service, EncodeRecord(action.record),
                static_cast<std::uint32_t>(ago.count())};
}

void KeyService::TakeHandOver(const LeadHandOver& hand_over, Instant now) {
  std::string problem;
  const auto record = DecodeRecord(hand_over.record, problem);
  if (!record) {
    log_.Error("hand-over not understood reason=" + problem);
    return;
  }
  leader_.TakeHandOver(*record, now - std::chrono::milliseconds{hand_over.confirmed_ms_ago}, now);
  RunActions();
}

void KeyService::Run(const RoutesChanged& /*action*/) { routes_changed_ = true; }

void KeyService::Run(const LeaderDecision& action) {
  log_.Info("service=" + settings_.service.value() + " " + action.text);
}

void KeyService::SendOrder(std::uint64_t order, const InstanceId& endpoint,
                           const NetworkAddress& address, OutgoingMessage message,
                           std::chrono::milliseconds patience) {
  const Instant now = BootNow();
  OutgoingCall call;
  call.message = std::move(message);
  call.connect_timeout = kOrderConnectTimeout;
  call.give_up_at = now + patience;
  pool_.Call(endpoint.value(), address, std::move(call), now,
             [this, order](const CallResult& result) { TakeOrderResult(order, result); });
}

void KeyService::TakeOrderResult(std::uint64_t order, const CallResult& result) {
  const Instant now = BootNow();
  if (result.verdict == CallVerdict::kAnswered) {
    leader_.TakeReply(order, format_.ReadReply(result.answer), now);
  } else {
    log_.Warning("order unanswered service=" + settings_.service.value() +
                 " order=" + std::to_string(order) + " reason=" + result.reason);
    leader_.TakeSilence(order, result.verdict != CallVerdict::kNotConnected, now);
  }
  RunActions();
}

std::vector<AnnouncementPart> KeyService::TakeAnnouncements(Instant now) {
  if (!leader_.leading() || (!routes_changed_ && now < next_announcement_)) {
    return {};
  }
  routes_changed_ = false;
  next_announcement_ = now + kAnnounceInterval;
  // One that stands in for a leader goes on from the leader's numbers.
  sequence_ = std::max(sequence_, routes_.sequence()) + 1;
  KeyAnnouncement whole{leader_.term(), sequence_, leader_.ServedRanges()};
  const std::size_t parts =
      std::max<std::size_t>((whole.served.size() + kRangesPerPart - 1) / kRangesPerPart, 1);
  std::vector<AnnouncementPart> announcement;
  for (std::size_t i = 0; i < parts; ++i) {
    AnnouncementPart part{settings_.service,
                          whole.term,
                          whole.sequence,
                          static_cast<std::uint16_t>(i),
                          static_cast<std::uint16_t>(parts),
                          {}};
    const auto begin = whole.served.begin() + static_cast<std::ptrdiff_t>(i * kRangesPerPart);
    const std::size_t size = std::min(
        kRangesPerPart, whole.served.size() - std::min(whole.served.size(), i * kRangesPerPart));
    part.served.assign(begin, begin + static_cast<std::ptrdiff_t>(size));
    announcement.push_back(std::move(part));
  }
  routes_.TakeAnnouncement(std::move(whole), now);
  return announcement;
}

}  // namespace sycamorestall
