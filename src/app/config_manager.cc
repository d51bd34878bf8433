#include "app/config_manager.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "clock/system_clock.h"
#include "core/invariant.h"

namespace sycamorestall {

namespace {

constexpr std::chrono::milliseconds kWatchTimeout{3000};
constexpr std::chrono::milliseconds kRetryDelay{1000};
constexpr std::size_t kMaxHistorySize = 50;

std::string StoreKey(DocumentKind kind) { return std::string("config/") + ToString(kind); }

}  // namespace

const char* ToString(DocumentKind kind) {
  return kind == DocumentKind::kPlans ? "plans" : "customers";
}

ConfigManager::ConfigManager(EventLoop& loop, Platform& platform, Metrics& metrics,
                             std::set<ServiceName> services)
    : loop_(loop), platform_(platform), metrics_(metrics), services_(std::move(services)) {}

void ConfigManager::ReadDocuments() {
  reading_ = true;
  ReadDocument(DocumentKind::kPlans, [this](std::error_code error) {
    documents_read_ = !error;
    if (error) {
      reading_ = false;
      next_read_at_ = BootNow() + kRetryDelay;
      return;
    }
    ReadDocument(DocumentKind::kCustomers, [this](std::error_code second) {
      reading_ = false;
      documents_read_ = !second;
      next_read_at_ = BootNow() + kRetryDelay;
    });
  });
}

void ConfigManager::ReadDocument(DocumentKind kind,
                                 const std::function<void(std::error_code)>& callback) {
  metrics_.IncrementCounter("store_calls_total{cause=\"config read\"}");
  platform_.Read(StoreKey(kind),
                 [this, kind, callback](std::error_code error, const StoreValue& value) {
                   loop_.Post([this, kind, callback, error, value] {
                     if (!error && value.revision.value != 0) {
                       ApplyStoredText(kind, value.text, value.revision);
                     }
                     callback(error);
                   });
                 });
}

void ConfigManager::SetWatching(bool watching) { watching_ = watching; }

void ConfigManager::Watch(DocumentKind kind) {
  DocumentState& document_state = state(kind);
  document_state.watch_pending = true;
  metrics_.IncrementCounter("store_calls_total{cause=\"config watch\"}");
  platform_.Watch(StoreKey(kind), document_state.revision, kWatchTimeout,
                  [this, kind](std::error_code error, const StoreValue& value) {
                    loop_.Post([this, kind, error, value] {
                      DocumentState& watched = state(kind);
                      watched.watch_pending = false;
                      watched.next_watch_at = error ? BootNow() + kRetryDelay : BootNow();
                      if (!error && value.revision.value != 0) {
                        ApplyStoredText(kind, value.text, value.revision);
                      }
                    });
                  });
}

void ConfigManager::Tick(Instant now) {
  if (!documents_read_ && !reading_ && now >= next_read_at_) {
    ReadDocuments();
  }
  if (!watching_) {
    return;
  }
  for (const DocumentKind kind : {DocumentKind::kPlans, DocumentKind::kCustomers}) {
    const DocumentState& document_state = state(kind);
    if (!document_state.watch_pending && now >= document_state.next_watch_at) {
      Watch(kind);
    }
  }
}

void ConfigManager::ApplyStoredText(DocumentKind kind, const std::string& text,
                                    std::optional<Revision> revision) {
  const auto parsed = ParseStoredDocument(text);
  if (const auto* error = std::get_if<DocumentError>(&parsed)) {
    log_.Error(std::string("the stored ") + ToString(kind) + " cannot be read: " + error->message);
    return;
  }
  const StoredDocument& document = std::get<StoredDocument>(parsed);
  DocumentState& document_state = state(kind);
  const bool newer = document.version > document_state.document.version;
  std::string error_message;
  if (newer && !Activate(kind, document, error_message)) {
    log_.Error(std::string("the stored ") + ToString(kind) + " are not valid: " + error_message);
    return;
  }
  if (newer) {
    RequireInvariant(document.version > document_state.document.version,
                     "versions in force only rise");
    document_state.text = text;
    document_state.document = document;
    log_.Info(std::string(ToString(kind)) + " version " + std::to_string(document.version) +
              " is in force");
  }
  if (revision && *revision > document_state.revision) {
    document_state.revision = *revision;
  }
}

bool ConfigManager::Activate(DocumentKind kind, const StoredDocument& document,
                             std::string& error_message) {
  if (kind == DocumentKind::kPlans) {
    auto parsed = ParsePlans(document.content, services_);
    if (const auto* error = std::get_if<DocumentError>(&parsed)) {
      error_message = error->message;
      return false;
    }
    customer_plans_.plans = std::get<PlansDocument>(std::move(parsed));
    customer_plans_.plans.version = document.version;
    return true;
  }
  auto parsed = ParseCustomers(document.content);
  if (const auto* error = std::get_if<DocumentError>(&parsed)) {
    error_message = error->message;
    return false;
  }
  customer_plans_.customers = std::get<CustomersDocument>(std::move(parsed));
  customer_plans_.customers.version = document.version;
  return true;
}

std::string ConfigManager::Validate(const DocumentEdit& edit) const {
  if (edit.change_id.empty()) {
    return "a change id is required";
  }
  if (edit.kind == DocumentKind::kPlans) {
    const auto parsed = ParsePlans(edit.content, services_);
    const auto* error = std::get_if<DocumentError>(&parsed);
    return error != nullptr
               ? error->message
               : FindMissingPlan(std::get<PlansDocument>(parsed), customer_plans_.customers);
  }
  const auto parsed = ParseCustomers(edit.content);
  const auto* error = std::get_if<DocumentError>(&parsed);
  return error != nullptr
             ? error->message
             : FindMissingPlan(customer_plans_.plans, std::get<CustomersDocument>(parsed));
}

std::optional<EditResult> ConfigManager::FindAcceptedEdit(const DocumentEdit& edit) const {
  for (const DocumentChange& change : Document(edit.kind).history) {
    if (change.change_id == edit.change_id) {
      return EditResult{EditOutcome::kAccepted, change.version, "accepted", std::nullopt};
    }
  }
  return std::nullopt;
}

void ConfigManager::Edit(DocumentEdit edit, EditCallback callback) {
  // Validation reads both documents, so both are read from the store first.
  ReadDocument(DocumentKind::kPlans, [this, edit = std::move(edit),
                                      callback = std::move(callback)](std::error_code error) {
    if (error) {
      callback({EditOutcome::kUnavailable, 0, "the store cannot be reached; nothing was changed",
                std::nullopt});
      return;
    }
    ReadDocument(DocumentKind::kCustomers, [this, edit, callback](std::error_code second) {
      if (second) {
        callback({EditOutcome::kUnavailable, 0, "the store cannot be reached; nothing was changed",
                  std::nullopt});
        return;
      }
      WriteEdit(edit, callback);
    });
  });
}

void ConfigManager::WriteEdit(const DocumentEdit& edit, const EditCallback& callback) {
  const std::optional<EditResult> accepted = FindAcceptedEdit(edit);
  if (accepted) {
    callback(*accepted);
    return;
  }
  const StoredDocument& current = Document(edit.kind);
  if (edit.expected_version != current.version) {
    EditResult conflict{EditOutcome::kConflict, current.version, "another change came first",
                        std::nullopt};
    if (!current.history.empty()) {
      conflict.winner = current.history.front();
    }
    callback(conflict);
    return;
  }
  const std::string problem = Validate(edit);
  if (!problem.empty()) {
    callback({EditOutcome::kInvalid, current.version, problem, std::nullopt});
    return;
  }
  StoredDocument next{current.version + 1, edit.content, current.history};
  next.history.insert(next.history.begin(),
                      {next.version, edit.change_id, edit.author, WallNow().count()});
  next.history.resize(std::min(next.history.size(), kMaxHistorySize));
  const std::string text = FormatStoredDocument(next);
  metrics_.IncrementCounter("store_calls_total{cause=\"config write\"}");
  platform_.CompareAndSwap(
      StoreKey(edit.kind), text, state(edit.kind).revision,
      [this, edit, callback, text](const SwapResult& result) {
        loop_.Post([this, edit, callback, text, result] {
          if (result.outcome != WriteOutcome::kApplied) {
            ResolveFailedWrite(edit, callback);
            return;
          }
          ApplyStoredText(edit.kind, text, result.value.revision);
          callback({EditOutcome::kAccepted, Document(edit.kind).version, "accepted", std::nullopt});
        });
      });
}

void ConfigManager::ResolveFailedWrite(const DocumentEdit& edit, const EditCallback& callback) {
  ReadDocument(edit.kind, [this, edit, callback](std::error_code error) {
    const std::optional<EditResult> found = FindAcceptedEdit(edit);
    if (found) {
      callback(*found);
      return;
    }
    const StoredDocument& current = Document(edit.kind);
    const bool superseded = !error && current.version > edit.expected_version;
    if (superseded) {
      callback({EditOutcome::kConflict, current.version, "another change came first",
                current.history.front()});
      return;
    }
    callback({EditOutcome::kUnknown, current.version,
              "the store gave no answer; repeat the change with the same change id", std::nullopt});
  });
}

}  // namespace sycamorestall
