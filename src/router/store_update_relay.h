#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "metrics/metrics.h"
#include "router/daemon_transport.h"
#include "store/store_update_log.h"
#include "store/store_watcher.h"
#include "store/update_progress.h"

namespace sycamorestall {

// Sends other daemons what this daemon learns of the store.
class StoreUpdateRelay {
 public:
  using LogWriter = std::function<void(const std::string&)>;

  StoreUpdateRelay(InstanceId self, const StoreWatcher& watcher, DaemonTransport& transport,
                   Metrics& metrics, LogWriter log_writer)
      : self_(std::move(self)),
        watcher_(watcher),
        transport_(transport),
        metrics_(metrics),
        log_writer_(std::move(log_writer)) {}

  // Starts anew after the contents were read up to a revision; what was to be sent is dropped.
  void Begin(Revision revision, Instant now);
  bool has_begun() const { return log_.has_begun(); }
  // Adds an event that changed something in this daemon.
  void Add(const StoreEvent& event, Instant now) { log_.Add(event, now); }
  // Whether the changes of the last seconds are known, so that updates that others missed can be
  // made up for.
  bool KnowsRecentChanges(Instant now) const;
  // The revision that a receiver which is not heard is taken to know.
  Revision AssumedRevision(Instant now) const;

  // Makes the next updates due.
  void SendSoon(Instant now) { next_send_at_ = now; }
  bool IsDue(Instant now) const { return now >= next_send_at_; }
  // Sends updates to receivers, each with the revision that it has confirmed.
  void Send(const std::map<InstanceId, Revision>& receivers, Instant now);
  // Sends a daemon the updates after the revision that it knows, unless it has just got some.
  void Answer(const InstanceId& receiver, Revision known, Instant now);
  // Forgets changes that are too old to be sent.
  void DiscardOld(Instant now) { log_.DiscardOld(now); }

 private:
  // Sends the messages, which begin at the given place, to a receiver. Returns their size in bytes.
  std::size_t SendTo(const InstanceId& receiver, const UpdateProgress::Start& start,
                     const std::vector<DaemonMessage>& messages);
  std::vector<DaemonMessage> MakeMessages(const UpdateProgress::Start& start, Instant now) const;

  const InstanceId self_;
  const StoreWatcher& watcher_;
  DaemonTransport& transport_;
  Metrics& metrics_;
  const LogWriter log_writer_;
  StoreUpdateLog log_;
  UpdateProgress progress_;
  Instant next_send_at_;
  // When requests of a daemon are answered again.
  std::map<InstanceId, Instant> next_answer_at_;
};

}  // namespace sycamorestall
