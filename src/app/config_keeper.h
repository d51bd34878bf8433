#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "app/loop.h"
#include "config/plan_json.h"
#include "core/boot_clock.h"
#include "core/gossip.h"
#include "core/plan_book.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "platform/platform.h"

namespace sycamorestall {

// Which of the operators' documents is meant.
enum class DocumentKind { kPlans, kCustomers };

// The document's name, as in paths and store keys.
const char* ToString(DocumentKind kind);

// A change that an operator asks for.
struct DocumentEdit {
  DocumentKind kind = DocumentKind::kPlans;
  // The version that the operator has seen; the change is refused when another
  // one is in force.
  std::uint64_t expected_version = 0;
  // Chosen by the operator's tool; a repeated change with the same id is
  // answered as accepted, and not applied again.
  std::string change_id;
  std::string author;
  // The new content, as JSON.
  std::string content;
};

// How a change ended.
enum class EditVerdict { kAccepted, kConflict, kInvalid, kUnavailable, kUnknown };

// The outcome of a change, with the version in force and, for a conflict, the
// change that won.
struct EditResult {
  EditVerdict verdict = EditVerdict::kUnknown;
  std::uint64_t version = 0;
  std::string message;
  std::optional<DocumentChange> winner;
};

// Keeps the operators' documents in force: reads them from the store, watches
// them where it is this daemon's turn, takes newer ones from peers, and writes
// changes. A version once in force is never replaced by a lower one. Runs on
// the loop.
class ConfigKeeper {
 public:
  using EditCallback = std::function<void(EditResult)>;

  ConfigKeeper(Loop& loop, Platform& platform, Metrics& metrics, std::set<ServiceName> services);

  // Reads both documents from the store.
  void Refresh();
  // Says whether this daemon is the one of its domain that watches the store.
  void SetWatching(bool watching);
  // Takes a document's stored text, from the store or from a peer.
  void Take(DocumentKind kind, const std::string& text, std::optional<Revision> revision);
  // Checks a change in full and writes it.
  void Edit(DocumentEdit edit, EditCallback callback);
  // Retries what failed.
  void Tick(Instant now);

  const PlanBook& book() const { return book_; }
  ConfigVersions versions() const { return {book_.plans.version, book_.customers.version}; }
  // The stored text, for peers; empty at version 0.
  const std::string& Text(DocumentKind kind) const { return slot(kind).text; }
  // The stored document, with its history.
  const StoredDocument& Document(DocumentKind kind) const { return slot(kind).document; }

 private:
  struct Slot {
    std::string text;
    StoredDocument document;
    Revision revision;
    bool watch_open = false;
    Instant next_watch;
  };

  Slot& slot(DocumentKind kind) { return kind == DocumentKind::kPlans ? plans_ : customers_; }
  const Slot& slot(DocumentKind kind) const {
    return kind == DocumentKind::kPlans ? plans_ : customers_;
  }
  void Refresh(DocumentKind kind, const std::function<void(std::error_code)>& then);
  void Watch(DocumentKind kind);
  bool Apply(DocumentKind kind, const StoredDocument& document, std::string& why_not);
  std::string Check(const DocumentEdit& edit) const;
  void WriteEdit(const DocumentEdit& edit, const EditCallback& callback);
  void ResolveEdit(const DocumentEdit& edit, const EditCallback& callback);
  std::optional<EditResult> FindEdit(const DocumentEdit& edit) const;

  Loop& loop_;
  Platform& platform_;
  Metrics& metrics_;
  std::set<ServiceName> services_;
  PlanBook book_;
  Slot plans_;
  Slot customers_;
  bool watching_ = false;
  bool read_once_ = false;
  bool reading_ = false;
  Instant next_read_;
  ComponentLog log_{"config"};
};

}  // namespace sycamorestall
