#include "router/store_update_relay.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sycamorestall {

namespace {

// Receivers hear at least this often how recent what they know is.
constexpr std::chrono::milliseconds kSendInterval{400};
// Daemons that are not heard get the changes of this period with each update. Their gossip may be
// lost on a congested outgoing link while updates still reach them.
constexpr std::chrono::milliseconds kUnconfirmedTime{5000};
// Requests of one daemon are answered this often at most, and with this many bytes a second: its
// link may be congested, and an answer on the way.
constexpr std::chrono::milliseconds kMinAnswerInterval{150};
constexpr double kMaxAnswerRate = 64.0 * 1024;

}  // namespace

void StoreUpdateRelay::Begin(Revision revision, Instant now) {
  log_ = {};
  log_.Begin(revision, now);
  progress_ = {};
}

bool StoreUpdateRelay::KnowsRecentChanges(Instant now) const {
  return log_.ReachesBackTo(now - kUnconfirmedTime);
}

Revision StoreUpdateRelay::AssumedRevision(Instant now) const {
  return log_.RevisionBefore(now - kUnconfirmedTime);
}

std::vector<DaemonMessage> StoreUpdateRelay::MakeMessages(const UpdateProgress::Start& start,
                                                          Instant now) const {
  const auto answered_ago =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - watcher_.last_answer_at());
  std::vector<DaemonMessage> messages;
  for (StoreUpdate& update :
       log_.UpdatesAfter(start.after, watcher_.revision(), watcher_.values())) {
    update.answered_ms_ago = static_cast<std::uint32_t>(answered_ago.count());
    update.base_assumed = start.assumed;
    DaemonMessage message;
    message.sender = self_;
    message.store_updates.push_back(std::move(update));
    messages.push_back(std::move(message));
  }
  return messages;
}

void StoreUpdateRelay::Send(const std::map<InstanceId, Revision>& receivers, Instant now) {
  next_send_at_ = now + kSendInterval;
  std::map<UpdateProgress::Start, std::vector<DaemonMessage>> messages;
  for (const auto& [id, confirmed] : receivers) {
    const UpdateProgress::Start start = progress_.Advance(id, confirmed, watcher_.revision(), now);
    const auto [entry, is_new] = messages.try_emplace(start);
    if (is_new) {
      entry->second = MakeMessages(start, now);
    }
    SendTo(id, start, entry->second);
  }
}

void StoreUpdateRelay::Answer(const InstanceId& receiver, Revision known, Instant now) {
  Instant& next_answer_at = next_answer_at_[receiver];
  if (!log_.has_begun() || known.era != watcher_.revision().era || now < next_answer_at) {
    return;
  }
  const UpdateProgress::Start start = progress_.Restart(receiver, known, watcher_.revision(), now);
  const std::size_t bytes = SendTo(receiver, start, MakeMessages(start, now));
  const std::chrono::duration<double> transmission{static_cast<double>(bytes) / kMaxAnswerRate};
  next_answer_at = now + std::max<Duration>(kMinAnswerInterval,
                                            std::chrono::duration_cast<Duration>(transmission));
}

std::size_t StoreUpdateRelay::SendTo(const InstanceId& receiver, const UpdateProgress::Start& start,
                                     const std::vector<DaemonMessage>& messages) {
  std::size_t bytes = 0;
  for (const DaemonMessage& message : messages) {
    bytes += transport_.SendTo(receiver, message);
  }
  const auto count = static_cast<double>(messages.size());
  metrics_.IncrementCounter("store_updates_sent_total", count);
  if (start.resent) {
    metrics_.IncrementCounter("store_updates_resent_total", count);
    log_writer_("store updates sent again to=" + receiver.value() +
                " after=" + std::to_string(start.after.value) +
                " until=" + std::to_string(watcher_.revision().value) +
                " datagrams=" + std::to_string(messages.size()));
  }
  return bytes;
}

}  // namespace sycamorestall
