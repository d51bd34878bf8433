#include "router/key_service.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <random>
#include <utility>
#include <variant>

#include "clock/system_clock.h"
#include "core/peer_schedule.h"
#include "http/status.h"
#include "router/record_codec.h"

namespace sycamorestall {

namespace {

constexpr std::chrono::milliseconds kOrderConnectTimeout{400};
// An endpoint answers a release only after its requests for the keys have finished.
constexpr std::chrono::milliseconds kReleaseTimeout{3000};
// Orders that take longer than this to be answered are logged.
constexpr std::chrono::milliseconds kSlowOrderTime{300};
// Announcements are repeated because datagrams get lost.
constexpr std::chrono::milliseconds kAnnouncementRepeatInterval{800};
// A leader that is not heard for this long may have been replaced.
constexpr std::chrono::milliseconds kAnnouncerTimeToLive{2000};
// Full announcements come at least this many times as far apart as those of changes.
constexpr int kAnnouncementsPerFullOne = 40;
// The most ranges in one datagram.
constexpr std::size_t kRangesPerPart = 160;

std::size_t PartCount(std::size_t ranges) {
  return std::max<std::size_t>((ranges + kRangesPerPart - 1) / kRangesPerPart, 1);
}

RecordWriteOutcome OutcomeFromError(std::error_code error) {
  if (!error) {
    return RecordWriteOutcome::kWritten;
  }
  if (error == StoreError::kConflict) {
    return RecordWriteOutcome::kConflict;
  }
  return error == StoreError::kRefused ? RecordWriteOutcome::kNotWritten
                                       : RecordWriteOutcome::kUnknown;
}

std::uint64_t RandomNumber() {
  std::random_device device;
  return std::uniform_int_distribution<std::uint64_t>{}(device);
}

std::string FormatHexadecimal(std::uint64_t number) {
  constexpr std::size_t kDigits = 16;
  std::array<char, kDigits> digits{};
  constexpr int kBase = 16;
  const auto end = std::to_chars(digits.begin(), digits.end(), number, kBase).ptr;
  const std::string text{digits.begin(), end};
  return std::string(kDigits - text.size(), '0') + text;
}

}  // namespace

KeyService::KeyService(KeyLeaderSettings settings, Store& store, ConnectionPool& pool,
                       const OrderFormat& order_format, EndpointObserver& endpoint_observer)
    : settings_(settings),
      store_(store),
      pool_(pool),
      order_format_(order_format),
      endpoint_observer_(endpoint_observer),
      first_order_id_(RandomNumber()),
      leader_(std::move(settings), std::make_unique<DensePiecePlacement>()) {}

void KeyService::ApplyRecordItem(const std::string& key_suffix, const StoreItem& item) {
  if (item.revision < complete_revision_) {
    return;
  }
  stored_record_changed_ = true;
  if (key_suffix.empty()) {
    stored_record_.head = item.value;
    stored_revision_ = item.revision;
    return;
  }
  std::size_t piece_index = 0;
  const auto parsed =
      std::from_chars(key_suffix.data(), key_suffix.data() + key_suffix.size(), piece_index);
  if (parsed.ec != std::errc{} || piece_index >= kRecordPieces) {
    log_.Error("malformed record item key=" + item.key);
    return;
  }
  stored_record_.pieces[piece_index] = item.value;
}

void KeyService::ApplyRecord(StoreEra era, Instant now) {
  if (!std::exchange(stored_record_changed_, false)) {
    return;
  }
  OwnershipRecord record;
  if (stored_record_.head.empty()) {
    stored_revision_ = {0, era};
  } else {
    std::string reason;
    const auto decoded = DecodeRecord(stored_record_, reason);
    if (!decoded) {
      log_.Warning("record incomplete or invalid service=" + settings_.service.value() +
                   " revision=" + std::to_string(stored_revision_.value) + " reason=" + reason);
      return;
    }
    record = *decoded;
  }
  complete_revision_ = stored_revision_;
  leader_.ApplyRecord(record, stored_revision_, now);
  routes_.ApplyRecord(leader_.record());
  ExecuteActions();
}

std::optional<InstanceId> KeyService::HeardLeader(Instant now) const {
  const bool heard = !announcer_.empty() && now - announcer_heard_at_ < kAnnouncerTimeToLive;
  return heard ? std::optional{announcer_} : std::nullopt;
}

void KeyService::HandleAnnouncementPart(const AnnouncementPart& part, const InstanceId& sender,
                                        Instant now) {
  leader_.ObserveTerm(part.term);
  ExecuteActions();
  if (part.term >= received_announcement_.term) {
    announcer_ = sender;
    announcer_heard_at_ = now;
  }
  const bool is_newer =
      part.term > received_announcement_.term ||
      (part.term == received_announcement_.term && part.sequence > received_announcement_.sequence);
  if (is_newer) {
    received_announcement_ = {part.term, part.sequence, part.base_sequence, {}};
    received_parts_.clear();
  }
  if (part.term != received_announcement_.term ||
      part.sequence != received_announcement_.sequence ||
      !received_parts_.insert(part.part_index).second) {
    return;
  }
  received_announcement_.ranges.insert(received_announcement_.ranges.end(), part.ranges.begin(),
                                       part.ranges.end());
  if (received_parts_.size() == part.part_count) {
    routes_.ApplyAnnouncement(received_announcement_, now);
  }
}

std::vector<KeyCount> KeyService::DrainRequestCounts() {
  std::vector<KeyCount> drained;
  drained.reserve(request_counts_.size());
  for (const auto& [key, count] : request_counts_) {
    drained.push_back({key, count});
  }
  request_counts_.clear();
  leader_.AddDemand(drained);
  return drained;
}

void KeyService::Tick(const EndpointFleet& fleet, const StoreView& view, Instant now) {
  leader_.Tick(fleet, view, now);
  ExecuteActions();
}

void KeyService::ExecuteActions() {
  for (const KeyLeaderAction& action : leader_.TakeActions()) {
    std::visit([this](const auto& each) { Execute(each); }, action);
  }
}

std::string KeyService::RecordKey() const {
  return std::string{kOwnershipKeyPrefix} + settings_.service.value();
}

void KeyService::Execute(const WriteOwnership& action) {
  const EncodedRecord encoded = EncodeRecord(action.record);
  StoreTransaction transaction;
  // Pieces are only ever written together with the head, so the condition on the head's
  // revision covers the whole record.
  transaction.conditions.push_back({RecordKey(), action.expected});
  transaction.puts.push_back({RecordKey(), encoded.head, {}});
  for (std::size_t i = 0; i < kRecordPieces; ++i) {
    if (encoded.pieces[i] != stored_record_.pieces[i]) {
      transaction.puts.push_back({RecordKey() + "/" + std::to_string(i), encoded.pieces[i], {}});
    }
  }
  store_.Commit(transaction, [this, id = action.record.change_id, encoded](std::error_code error,
                                                                           Revision revision) {
    if (error) {
      log_.Warning("record write failed change=" + id + " reason=" + error.message());
    } else if (revision > stored_revision_) {
      stored_record_ = encoded;
      stored_revision_ = revision;
      complete_revision_ = revision;
    }
    leader_.HandleWriteResult(id, OutcomeFromError(error), revision, BootNow());
    ExecuteActions();
  });
}

void KeyService::Execute(const SendGrant& action) {
  const std::string id = OrderId(action.order);
  SendOrder({action.order, id, false, action.endpoint, action.grant.range, BootNow()},
            action.address, order_format_.FormatGrant(id, action.endpoint, action.grant),
            settings_.grant_timeout);
}

void KeyService::Execute(const SendRelease& action) {
  const std::string id = OrderId(action.order);
  SendOrder({action.order, id, true, action.endpoint, action.range, BootNow()}, action.address,
            order_format_.FormatRelease(id, action.endpoint, action.range, action.token),
            kReleaseTimeout);
}

void KeyService::Execute(const HandOver& action) {
  const auto confirmed_ago =
      std::chrono::duration_cast<std::chrono::milliseconds>(BootNow() - action.confirmed_at);
  pending_hand_over_ = {settings_.service, EncodeRecord(action.record),
                        static_cast<std::uint32_t>(confirmed_ago.count())};
}

void KeyService::HandleHandOver(const LeadershipHandOver& hand_over, Instant sent_after,
                                Instant now) {
  std::string reason;
  const auto record = DecodeRecord(hand_over.record, reason);
  if (!record) {
    log_.Error("malformed leadership hand-over reason=" + reason);
    return;
  }
  leader_.AcceptHandOver(*record,
                         sent_after - std::chrono::milliseconds{hand_over.confirmed_ms_ago}, now);
  ExecuteActions();
}

void KeyService::Execute(const RoutesChanged& /*action*/) { routes_changed_ = true; }

void KeyService::Execute(const LeaderDecision& action) {
  log_.Info("service=" + settings_.service.value() + " " + action.text);
}

std::string KeyService::OrderId(std::uint64_t order) const {
  return FormatHexadecimal(first_order_id_ + order);
}

void KeyService::SendOrder(SentOrder order, const NetworkAddress& address, OutgoingMessage message,
                           std::chrono::milliseconds timeout) {
  OutgoingCall call;
  call.message = std::move(message);
  call.connect_timeout = kOrderConnectTimeout;
  call.deadline = order.sent_at + timeout;
  const auto sent = std::make_shared<SentOrder>(std::move(order));
  // Orders share no connection with requests, whose late answers would be taken for theirs.
  sent->connection =
      pool_.Call("orders/" + sent->endpoint.value(), address, std::move(call), sent->sent_at,
                 [this, sent](const CallResult& result) { HandleOrderResult(*sent, result); });
}

void KeyService::HandleOrderResult(const SentOrder& order, const CallResult& result) {
  const Instant now = BootNow();
  LogOrderResult(order, result, now);
  std::optional<OrderReply> reply;
  if (result.outcome == CallOutcome::kAnswered) {
    reply = ReplyFromAnswer(order, result.answer);
  }
  if (reply) {
    endpoint_observer_.HandleNotice(order.endpoint, reply->notice, order.sent_at, now);
    leader_.HandleOrderReply(order.order, *reply, now);
  } else {
    leader_.HandleOrderFailure(order.order, !NothingWasSent(result.outcome), now);
  }
  ExecuteActions();
}

std::optional<OrderReply> KeyService::ReplyFromAnswer(const SentOrder& order,
                                                      const HttpAnswer& answer) const {
  const AnsweredOrder answered = order_format_.IdentifyOrder(answer, order.id);
  const bool may_repeat_release = answered == AnsweredOrder::kUnknown && order.is_release;
  if (may_repeat_release || answered == AnsweredOrder::kAnother) {
    // A second answer that comes late must not meet the next order.
    ConnectionPool::Cancel(order.connection);
  }
  if (answered == AnsweredOrder::kAnother) {
    log_.Warning("answer of another order service=" + settings_.service.value() +
                 " order=" + std::to_string(order.order) + " endpoint=" + order.endpoint.value());
    return std::nullopt;
  }
  return order.is_release ? order_format_.ParseReleaseReply(answer)
                          : order_format_.ParseGrantReply(answer);
}

void KeyService::LogOrderResult(const SentOrder& order, const CallResult& result,
                                Instant now) const {
  const Duration taken = now - order.sent_at;
  const std::string details =
      " service=" + settings_.service.value() + " order=" + std::to_string(order.order) +
      (order.is_release ? " release" : " grant") + " range=" + ToString(order.range) +
      " endpoint=" + order.endpoint.value() + " after_ms=" + FormatMilliseconds(taken);
  if (result.outcome != CallOutcome::kAnswered) {
    log_.Warning("order not answered" + details + " reason=" + result.reason);
    return;
  }
  const std::string status = " status=" + std::to_string(result.answer.result_int());
  if (result.answer.result_int() != http::kOk) {
    log_.Info("order refused" + details + status);
  } else if (taken > kSlowOrderTime) {
    log_.Info("order answered late" + details + status);
  }
}

KeyAnnouncement KeyService::BuildAnnouncement(std::size_t peers, Instant now) {
  // An acting leader continues the sequence numbers of the leader that it replaces.
  announcement_sequence_ = std::max(announcement_sequence_, routes_.sequence()) + 1;
  std::vector<ServedRange> ranges = leader_.ServedRanges();
  const bool full =
      now >= next_full_announcement_at_ || last_full_announcement_.term != leader_.term();
  if (!full) {
    return {leader_.term(), announcement_sequence_, last_full_announcement_.sequence,
            ComputeChanges(last_full_announcement_.ranges, ranges)};
  }
  next_full_announcement_at_ =
      now + AnnouncementInterval(peers, PartCount(ranges.size())) * kAnnouncementsPerFullOne;
  last_full_announcement_ = {leader_.term(), announcement_sequence_, 0, std::move(ranges)};
  return last_full_announcement_;
}

std::vector<AnnouncementPart> KeyService::SplitIntoParts(
    const KeyAnnouncement& announcement) const {
  const std::vector<ServedRange>& ranges = announcement.ranges;
  const std::size_t part_count = PartCount(ranges.size());
  std::vector<AnnouncementPart> datagram_parts;
  for (std::size_t i = 0; i < part_count; ++i) {
    AnnouncementPart part{settings_.service,
                          announcement.term,
                          announcement.sequence,
                          announcement.base,
                          static_cast<std::uint16_t>(i),
                          static_cast<std::uint16_t>(part_count),
                          {}};
    const std::size_t begin = i * kRangesPerPart;
    const std::size_t end = std::min(begin + kRangesPerPart, ranges.size());
    part.ranges.assign(ranges.begin() + static_cast<std::ptrdiff_t>(begin),
                       ranges.begin() + static_cast<std::ptrdiff_t>(end));
    datagram_parts.push_back(std::move(part));
  }
  return datagram_parts;
}

std::vector<AnnouncementPart> KeyService::PrepareAnnouncements(std::size_t peers, Instant now) {
  const bool due =
      (routes_changed_ && now >= next_announcement_at_) || now >= repeat_announcement_at_;
  if (!leader_.leading() || !due) {
    return {};
  }
  routes_changed_ = false;
  repeat_announcement_at_ = now + kAnnouncementRepeatInterval;
  const KeyAnnouncement announcement = BuildAnnouncement(peers, now);
  routes_.ApplyAnnouncement(announcement, now);
  std::vector<AnnouncementPart> parts = SplitIntoParts(announcement);
  next_announcement_at_ = now + AnnouncementInterval(peers, parts.size());
  return parts;
}

}  // namespace sycamorestall
