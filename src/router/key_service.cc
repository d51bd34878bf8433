#include "router/key_service.h"

#include <algorithm>
#include <charconv>
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
constexpr std::chrono::milliseconds kAnnounceInterval{40};
// Announcements are repeated, as datagrams get lost.
constexpr std::chrono::milliseconds kRepeatInterval{800};
constexpr std::chrono::milliseconds kWholeInterval{1600};
// Ranges in one datagram.
constexpr std::size_t kRangesPerPart = 40;

RecordWriteOutcome VerdictOf(std::error_code error) {
  if (!error) {
    return RecordWriteOutcome::kWritten;
  }
  if (error == StoreError::kConflict) {
    return RecordWriteOutcome::kConflict;
  }
  return error == StoreError::kRefused ? RecordWriteOutcome::kNotWritten
                                       : RecordWriteOutcome::kUnknown;
}

}  // namespace

KeyService::KeyService(KeyLeaderSettings settings, Store& store, ConnectionPool& pool,
                       const OrderFormat& format)
    : settings_(settings),
      store_(store),
      pool_(pool),
      format_(format),
      leader_(std::move(settings), std::make_unique<DensePiecePlacement>()) {}

void KeyService::TakeItem(const std::string& rest, const StoreItem& item) {
  if (item.revision < whole_revision_) {
    return;
  }
  stored_changed_ = true;
  if (rest.empty()) {
    stored_.head = item.value;
    stored_revision_ = item.revision;
    return;
  }
  std::size_t number = 0;
  const auto read = std::from_chars(rest.data(), rest.data() + rest.size(), number);
  if (read.ec != std::errc{} || number >= kRecordPieces) {
    log_.Error("record key not understood key=" + item.key);
    return;
  }
  stored_.pieces[number] = item.value;
}

void KeyService::FinishItems(Instant now) {
  if (!std::exchange(stored_changed_, false)) {
    return;
  }
  OwnershipRecord record;
  if (!stored_.head.empty()) {
    std::string problem;
    const auto decoded = DecodeRecord(stored_, problem);
    if (!decoded) {
      log_.Warning("record not whole service=" + settings_.service.value() +
                   " revision=" + std::to_string(stored_revision_.value) + " reason=" + problem);
      return;
    }
    record = *decoded;
  }
  whole_revision_ = stored_revision_;
  leader_.ApplyRecord(record, stored_revision_, now);
  routes_.ApplyRecord(record);
  RunActions();
}

void KeyService::TakeAnnouncement(const AnnouncementPart& part, Instant now) {
  leader_.ObserveTerm(part.term);
  RunActions();
  const bool newer = part.term > partial_.term ||
                     (part.term == partial_.term && part.sequence > partial_.sequence);
  if (newer) {
    partial_ = {part.term, part.sequence, part.base, {}};
    partial_parts_.clear();
  }
  if (part.term != partial_.term || part.sequence != partial_.sequence ||
      !partial_parts_.insert(part.part).second) {
    return;
  }
  partial_.ranges.insert(partial_.ranges.end(), part.ranges.begin(), part.ranges.end());
  if (partial_parts_.size() == part.parts) {
    routes_.ApplyAnnouncement(partial_, now);
  }
}

std::vector<KeyCount> KeyService::TakeCounts() {
  std::vector<KeyCount> counts;
  counts.reserve(counts_.size());
  for (const auto& [key, count] : counts_) {
    counts.push_back({key, count});
  }
  counts_.clear();
  leader_.AddDemand(counts);
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

std::string KeyService::RecordKey() const {
  return std::string{kOwnershipPrefix} + settings_.service.value();
}

void KeyService::Run(const WriteOwnership& action) {
  const RecordTexts texts = EncodeRecord(action.record);
  StoreChange change;
  // Pieces are written only together with the head, so its revision speaks for all.
  change.conditions.push_back({RecordKey(), action.expected});
  change.puts.push_back({RecordKey(), texts.head, {}});
  for (std::size_t i = 0; i < kRecordPieces; ++i) {
    if (texts.pieces[i] != stored_.pieces[i]) {
      change.puts.push_back({RecordKey() + "/" + std::to_string(i), texts.pieces[i], {}});
    }
  }
  store_.Commit(change, [this, id = action.record.change_id, texts](std::error_code error,
                                                                    Revision revision) {
    if (error) {
      log_.Warning("record write failed change=" + id + " reason=" + error.message());
    } else if (revision > stored_revision_) {
      stored_ = texts;
      stored_revision_ = revision;
      whole_revision_ = revision;
    }
    leader_.HandleWriteResult(id, VerdictOf(error), revision, BootNow());
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
  leader_.AcceptHandOver(*record, now - std::chrono::milliseconds{hand_over.confirmed_ms_ago}, now);
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
    leader_.HandleOrderReply(order, format_.ReadReply(result.answer), now);
  } else {
    log_.Warning("order unanswered service=" + settings_.service.value() +
                 " order=" + std::to_string(order) + " reason=" + result.reason);
    leader_.HandleOrderFailure(order, !NothingWasSent(result.verdict), now);
  }
  RunActions();
}

KeyAnnouncement KeyService::NextAnnouncement(std::size_t factor, Instant now) {
  // One that stands in for a leader goes on from the leader's numbers.
  sequence_ = std::max(sequence_, routes_.sequence()) + 1;
  std::vector<ServedRange> ranges = leader_.ServedRanges();
  const bool whole = now >= next_whole_ || whole_.term != leader_.term();
  if (!whole) {
    return {leader_.term(), sequence_, whole_.sequence, ComputeChanges(whole_.ranges, ranges)};
  }
  next_whole_ = now + kWholeInterval * factor;
  whole_ = {leader_.term(), sequence_, 0, std::move(ranges)};
  return whole_;
}

std::vector<AnnouncementPart> KeyService::Split(const KeyAnnouncement& announcement) const {
  const std::vector<ServedRange>& all = announcement.ranges;
  const std::size_t parts =
      std::max<std::size_t>((all.size() + kRangesPerPart - 1) / kRangesPerPart, 1);
  std::vector<AnnouncementPart> split;
  for (std::size_t i = 0; i < parts; ++i) {
    AnnouncementPart part{settings_.service,
                          announcement.term,
                          announcement.sequence,
                          announcement.base,
                          static_cast<std::uint16_t>(i),
                          static_cast<std::uint16_t>(parts),
                          {}};
    const std::size_t begin = i * kRangesPerPart;
    const std::size_t end = std::min(begin + kRangesPerPart, all.size());
    part.ranges.assign(all.begin() + static_cast<std::ptrdiff_t>(begin),
                       all.begin() + static_cast<std::ptrdiff_t>(end));
    split.push_back(std::move(part));
  }
  return split;
}

std::vector<AnnouncementPart> KeyService::TakeAnnouncements(std::size_t factor, Instant now) {
  const bool due = (routes_changed_ && now >= next_announcement_) || now >= next_repetition_;
  if (!leader_.leading() || !due) {
    return {};
  }
  routes_changed_ = false;
  next_announcement_ = now + kAnnounceInterval * factor;
  next_repetition_ = now + kRepeatInterval;
  const KeyAnnouncement announcement = NextAnnouncement(factor, now);
  routes_.ApplyAnnouncement(announcement, now);
  return Split(announcement);
}

}  // namespace sycamorestall
