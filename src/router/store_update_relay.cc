#include "router/store_update_relay.h"

#include <utility>

namespace sycamorestall {

namespace {

// Receivers hear at least this often how recent what they know is.
constexpr std::chrono::milliseconds kSendInterval{400};
// Daemons that are not heard get the changes of this period with each update. Their gossip may be
// lost on a congested outgoing link while updates still reach them.
constexpr std::chrono::milliseconds kUnconfirmedTime{5000};

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
    for (const DaemonMessage& message : entry->second) {
      transport_.SendTo(id, message);
    }
    metrics_.IncrementCounter("store_updates_sent_total",
                              static_cast<double>(entry->second.size()));
    if (start.resent) {
      metrics_.IncrementCounter("store_updates_resent_total",
                                static_cast<double>(entry->second.size()));
      log_writer_("store updates sent again to=" + id.value() +
                  " after=" + std::to_string(start.after.value) +
                  " until=" + std::to_string(watcher_.revision().value) +
                  " datagrams=" + std::to_string(entry->second.size()));
    }
  }
}

}  // namespace sycamorestall
