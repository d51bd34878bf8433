#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "app/event_loop.h"
#include "config/plan_json.h"
#include "core/boot_clock.h"
#include "core/customer_plans.h"
#include "core/gossip.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "platform/platform.h"

namespace sycamorestall {

// The documents that operators edit.
enum class DocumentKind { kPlans, kCustomers };

// Returns the name of a document in URL paths and store keys.
const char* ToString(DocumentKind kind);

// A change of a document that an operator requests.
struct DocumentEdit {
  DocumentKind kind = DocumentKind::kPlans;
  // The version that the change is based on; the change is refused unless it is in
  // force.
  std::uint64_t expected_version = 0;
  // Chosen by the operator's tool. A repeated change with the same id is answered
  // as accepted and not applied again.
  std::string change_id;
  std::string author;
  // The new content, as JSON.
  std::string content;
};

// Outcome of a change. kUnavailable: nothing was written. kUnknown: the store gave
// no answer, so the change may have been written.
enum class EditOutcome { kAccepted, kConflict, kInvalid, kUnavailable, kUnknown };

// Outcome of a change, the version in force (0 when unavailable) and, for a
// conflict, the change that was accepted instead.
struct EditResult {
  EditOutcome outcome = EditOutcome::kUnknown;
  std::uint64_t version = 0;
  std::string message;
  std::optional<DocumentChange> winner;
};

// Holds the operators' documents in force: reads them from the store, watches them
// there if this daemon is the watcher of its domain, applies newer ones from peers,
// and writes changes. A version in force is never replaced by a lower one. Runs on
// the event loop.
class ConfigManager {
 public:
  using EditCallback = std::function<void(EditResult)>;

  ConfigManager(EventLoop& loop, Platform& platform, Metrics& metrics,
                std::set<ServiceName> services);

  // Reads both documents from the store.
  void ReadDocuments();
  // Sets whether this daemon is the one in its domain that watches the store.
  void SetWatching(bool watching);
  // Applies a document's stored text if its version is newer and it is valid. The
  // revision is set if the text comes from the store, and empty if from a peer.
  void ApplyStoredText(DocumentKind kind, const std::string& text,
                       std::optional<Revision> revision);
  // Validates a change against the documents in the store, and writes it.
  void Edit(DocumentEdit edit, EditCallback callback);
  // Starts the reads and watches that are due.
  void Tick(Instant now);

  const CustomerPlans& customer_plans() const { return customer_plans_; }
  ConfigVersions versions() const {
    return {customer_plans_.plans.version, customer_plans_.customers.version};
  }
  // The stored text, to send to peers; empty at version 0.
  const std::string& StoredText(DocumentKind kind) const { return state(kind).text; }
  // The stored document, with its history.
  const StoredDocument& Document(DocumentKind kind) const { return state(kind).document; }

 private:
  // A document in force, and its revision in the store.
  struct DocumentState {
    std::string text;
    StoredDocument document;
    Revision revision;
    bool watch_pending = false;
    Instant next_watch_at;
  };

  DocumentState& state(DocumentKind kind) {
    return kind == DocumentKind::kPlans ? plans_ : customers_;
  }
  const DocumentState& state(DocumentKind kind) const {
    return kind == DocumentKind::kPlans ? plans_ : customers_;
  }
  void ReadDocument(DocumentKind kind, const std::function<void(std::error_code)>& callback);
  void Watch(DocumentKind kind);
  // Puts a document in force; false, with error_message set, when it is not valid.
  bool Activate(DocumentKind kind, const StoredDocument& document, std::string& error_message);
  // Returns why a change is not valid; empty when it is valid.
  std::string Validate(const DocumentEdit& edit) const;
  void WriteEdit(const DocumentEdit& edit, const EditCallback& callback);
  // Reads the document to find out whether an unconfirmed write was applied.
  void ResolveFailedWrite(const DocumentEdit& edit, const EditCallback& callback);
  // Returns the result of a change that is in the history already.
  std::optional<EditResult> FindAcceptedEdit(const DocumentEdit& edit) const;

  EventLoop& loop_;
  Platform& platform_;
  Metrics& metrics_;
  std::set<ServiceName> services_;
  CustomerPlans customer_plans_;
  DocumentState plans_;
  DocumentState customers_;
  bool watching_ = false;
  bool documents_read_ = false;
  bool reading_ = false;
  Instant next_read_at_;
  ComponentLog log_{"config"};
};

}  // namespace sycamorestall
