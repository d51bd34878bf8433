#include "app/config_keeper.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "clock/system_clock.h"
#include "core/invariant.h"

namespace sycamorestall {

namespace {

constexpr std::chrono::milliseconds kWatchWait{3000};
constexpr std::chrono::milliseconds kRetryAfter{1000};
constexpr std::size_t kHistoryKept = 50;

std::string StoreKey(DocumentKind kind) { return std::string("config/") + ToString(kind); }

}  // namespace

const char* ToString(DocumentKind kind) {
  return kind == DocumentKind::kPlans ? "plans" : "customers";
}

ConfigKeeper::ConfigKeeper(Loop& loop, Platform& platform, Metrics& metrics,
                           std::set<ServiceName> services)
    : loop_(loop), platform_(platform), metrics_(metrics), services_(std::move(services)) {}

void ConfigKeeper::Refresh() {
  reading_ = true;
  Refresh(DocumentKind::kPlans, [this](std::error_code error) {
    read_once_ = !error;
    if (error) {
      reading_ = false;
      next_read_ = BootNow() + kRetryAfter;
      return;
    }
    Refresh(DocumentKind::kCustomers, [this](std::error_code second) {
      reading_ = false;
      read_once_ = !second;
      next_read_ = BootNow() + kRetryAfter;
    });
  });
}

void ConfigKeeper::Refresh(DocumentKind kind, const std::function<void(std::error_code)>& then) {
  metrics_.IncrementCounter("store_calls_total{cause=\"config read\"}");
  platform_.Read(StoreKey(kind),
                 [this, kind, then](std::error_code error, const StoreValue& value) {
                   loop_.Post([this, kind, then, error, value] {
                     if (!error && value.revision.value != 0) {
                       Take(kind, value.text, value.revision);
                     }
                     then(error);
                   });
                 });
}

void ConfigKeeper::SetWatching(bool watching) { watching_ = watching; }

void ConfigKeeper::Watch(DocumentKind kind) {
  Slot& target = slot(kind);
  target.watch_open = true;
  metrics_.IncrementCounter("store_calls_total{cause=\"config watch\"}");
  platform_.Watch(StoreKey(kind), target.revision, kWatchWait,
                  [this, kind](std::error_code error, const StoreValue& value) {
                    loop_.Post([this, kind, error, value] {
                      Slot& done = slot(kind);
                      done.watch_open = false;
                      done.next_watch = error ? BootNow() + kRetryAfter : BootNow();
                      if (!error && value.revision.value != 0) {
                        Take(kind, value.text, value.revision);
                      }
                    });
                  });
}

void ConfigKeeper::Tick(Instant now) {
  if (!read_once_ && !reading_ && now >= next_read_) {
    Refresh();
  }
  if (!watching_) {
    return;
  }
  for (const DocumentKind kind : {DocumentKind::kPlans, DocumentKind::kCustomers}) {
    const Slot& target = slot(kind);
    if (!target.watch_open && now >= target.next_watch) {
      Watch(kind);
    }
  }
}

void ConfigKeeper::Take(DocumentKind kind, const std::string& text,
                        std::optional<Revision> revision) {
  const auto parsed = ParseStoredDocument(text);
  if (const auto* error = std::get_if<DocumentError>(&parsed)) {
    log_.Error(std::string("the stored ") + ToString(kind) + " cannot be read: " + error->message);
    return;
  }
  const StoredDocument& document = std::get<StoredDocument>(parsed);
  Slot& target = slot(kind);
  const bool newer = document.version > target.document.version;
  std::string why_not;
  if (newer && !Apply(kind, document, why_not)) {
    log_.Error(std::string("the stored ") + ToString(kind) + " are not valid: " + why_not);
    return;
  }
  if (newer) {
    RequireInvariant(document.version > target.document.version, "versions in force only rise");
    target.text = text;
    target.document = document;
    log_.Info(std::string(ToString(kind)) + " version " + std::to_string(document.version) +
              " is in force");
  }
  if (revision && *revision > target.revision) {
    target.revision = *revision;
  }
}

bool ConfigKeeper::Apply(DocumentKind kind, const StoredDocument& document, std::string& why_not) {
  if (kind == DocumentKind::kPlans) {
    auto parsed = ParsePlans(document.content, services_);
    if (const auto* error = std::get_if<DocumentError>(&parsed)) {
      why_not = error->message;
      return false;
    }
    book_.plans = std::get<PlansDocument>(std::move(parsed));
    book_.plans.version = document.version;
    return true;
  }
  auto parsed = ParseCustomers(document.content);
  if (const auto* error = std::get_if<DocumentError>(&parsed)) {
    why_not = error->message;
    return false;
  }
  book_.customers = std::get<CustomersDocument>(std::move(parsed));
  book_.customers.version = document.version;
  return true;
}

std::string ConfigKeeper::Check(const DocumentEdit& edit) const {
  if (edit.change_id.empty()) {
    return "a change id is required";
  }
  if (edit.kind == DocumentKind::kPlans) {
    const auto parsed = ParsePlans(edit.content, services_);
    const auto* error = std::get_if<DocumentError>(&parsed);
    return error != nullptr ? error->message
                            : FindMissingPlan(std::get<PlansDocument>(parsed), book_.customers);
  }
  const auto parsed = ParseCustomers(edit.content);
  const auto* error = std::get_if<DocumentError>(&parsed);
  return error != nullptr ? error->message
                          : FindMissingPlan(book_.plans, std::get<CustomersDocument>(parsed));
}

std::optional<EditResult> ConfigKeeper::FindEdit(const DocumentEdit& edit) const {
  for (const DocumentChange& change : Document(edit.kind).history) {
    if (change.change_id == edit.change_id) {
      return EditResult{EditVerdict::kAccepted, change.version, "accepted", std::nullopt};
    }
  }
  return std::nullopt;
}

void ConfigKeeper::Edit(DocumentEdit edit, EditCallback callback) {
  // The checks look at the other document too, so both have to be fresh.
  Refresh(DocumentKind::kPlans,
          [this, edit = std::move(edit), callback = std::move(callback)](std::error_code error) {
            if (error) {
              callback({EditVerdict::kUnavailable, 0,
                        "the store cannot be reached; nothing was changed", std::nullopt});
              return;
            }
            Refresh(DocumentKind::kCustomers, [this, edit, callback](std::error_code second) {
              if (second) {
                callback({EditVerdict::kUnavailable, 0,
                          "the store cannot be reached; nothing was changed", std::nullopt});
                return;
              }
              WriteEdit(edit, callback);
            });
          });
}

void ConfigKeeper::WriteEdit(const DocumentEdit& edit, const EditCallback& callback) {
  const std::optional<EditResult> known = FindEdit(edit);
  if (known) {
    callback(*known);
    return;
  }
  const StoredDocument& current = Document(edit.kind);
  if (edit.expected_version != current.version) {
    EditResult lost{EditVerdict::kConflict, current.version, "another change came first",
                    std::nullopt};
    if (!current.history.empty()) {
      lost.winner = current.history.front();
    }
    callback(lost);
    return;
  }
  const std::string wrong = Check(edit);
  if (!wrong.empty()) {
    callback({EditVerdict::kInvalid, current.version, wrong, std::nullopt});
    return;
  }
  StoredDocument next{current.version + 1, edit.content, current.history};
  next.history.insert(next.history.begin(),
                      {next.version, edit.change_id, edit.author, WallNow().count()});
  next.history.resize(std::min(next.history.size(), kHistoryKept));
  const std::string text = FormatStoredDocument(next);
  metrics_.IncrementCounter("store_calls_total{cause=\"config write\"}");
  platform_.CompareAndSwap(
      StoreKey(edit.kind), text, slot(edit.kind).revision,
      [this, edit, callback, text](const SwapResult& result) {
        loop_.Post([this, edit, callback, text, result] {
          if (result.outcome != WriteOutcome::kApplied) {
            ResolveEdit(edit, callback);
            return;
          }
          Take(edit.kind, text, result.value.revision);
          callback({EditVerdict::kAccepted, Document(edit.kind).version, "accepted", std::nullopt});
        });
      });
}

void ConfigKeeper::ResolveEdit(const DocumentEdit& edit, const EditCallback& callback) {
  Refresh(edit.kind, [this, edit, callback](std::error_code error) {
    const std::optional<EditResult> found = FindEdit(edit);
    if (found) {
      callback(*found);
      return;
    }
    const StoredDocument& current = Document(edit.kind);
    const bool overtaken = !error && current.version > edit.expected_version;
    if (overtaken) {
      callback({EditVerdict::kConflict, current.version, "another change came first",
                current.history.front()});
      return;
    }
    callback({EditVerdict::kUnknown, current.version,
              "the store gave no answer; repeat the change with the same change id", std::nullopt});
  });
}

}  // namespace sycamorestall
