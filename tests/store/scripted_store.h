#pragma once

#include <vector>

#include "store/store.h"

namespace sycamorestall::testing {

// A store whose reads and watches a test answers explicitly. Other calls are ignored.
class ScriptedStore : public Store {
 public:
  StoreEra era() const override { return era_; }
  void ReadAll(ContentsCallback callback) override {
    ++read_count_;
    read_callback_ = std::move(callback);
  }
  void Watch(Revision after, std::chrono::milliseconds /*wait*/, std::size_t max_bytes,
             ChangesCallback callback) override {
    ++watch_count_;
    last_watch_max_bytes_ = max_bytes;
    last_watch_revision_ = after;
    watch_callback_ = std::move(callback);
  }
  void WatchPrefix(const std::string& /*prefix*/, Revision after,
                   std::chrono::milliseconds /*wait*/, ChangesCallback callback) override {
    ++prefix_watch_count_;
    last_prefix_watch_revision_ = after;
    prefix_watch_callback_ = std::move(callback);
  }
  void AbandonReads() override {
    read_callback_ = nullptr;
    watch_callback_ = nullptr;
  }
  std::optional<Instant> OldestMissingAnswer(Instant now) const override {
    const bool missing = (reading() || watching()) && now >= answer_due_at_;
    return missing ? std::optional{answer_due_at_} : std::nullopt;
  }
  void Probe(ProbeCallback callback) override {
    ++probe_count_;
    if (answers_probes_) {
      callback({});
    }
  }
  void GiveUpUnanswered(Instant /*sent_by*/) override {
    if (reading()) {
      AnswerRead({}, StoreError::kGivenUp);
    } else if (watching()) {
      AnswerWatch({}, StoreError::kGivenUp);
    }
  }
  void Commit(const StoreTransaction& /*transaction*/, CommitCallback /*callback*/) override {}
  void OpenLease(std::chrono::milliseconds /*time_to_live*/, LeaseCallback /*callback*/) override {}
  void RenewLease(LeaseId /*lease*/, LeaseCallback /*callback*/) override {}
  void EndLease(LeaseId /*lease*/) override {}
  std::vector<StoreCallCount> CallCounts() const override { return {}; }

  void AnswerRead(Contents contents, std::error_code error = {}) {
    std::exchange(read_callback_, nullptr)(error, std::move(contents));
  }
  void AnswerWatch(Changes changes, std::error_code error = {}) {
    std::exchange(watch_callback_, nullptr)(error, std::move(changes));
  }
  void AnswerPrefixWatch(Changes changes, std::error_code error = {}) {
    std::exchange(prefix_watch_callback_, nullptr)(error, std::move(changes));
  }
  // Sets the era that answers to other calls have told.
  void SetEra(StoreEra era) { era_ = era; }
  // Sets when the answer to the pending call is due, and whether probes are answered.
  void SetAnswerDueAt(Instant due_at) { answer_due_at_ = due_at; }
  void SetAnswersProbes(bool answers) { answers_probes_ = answers; }
  int probe_count() const { return probe_count_; }
  // Whether a read or watch waits for its answer.
  bool reading() const { return read_callback_ != nullptr; }
  bool watching() const { return watch_callback_ != nullptr; }
  int read_count() const { return read_count_; }
  int watch_count() const { return watch_count_; }
  bool watching_prefix() const { return prefix_watch_callback_ != nullptr; }
  int prefix_watch_count() const { return prefix_watch_count_; }
  Revision last_prefix_watch_revision() const { return last_prefix_watch_revision_; }
  Revision last_watch_revision() const { return last_watch_revision_; }
  std::size_t last_watch_max_bytes() const { return last_watch_max_bytes_; }

 private:
  StoreEra era_;
  Instant answer_due_at_ = Instant::max();
  bool answers_probes_ = false;
  int probe_count_ = 0;
  int read_count_ = 0;
  int watch_count_ = 0;
  Revision last_watch_revision_;
  int prefix_watch_count_ = 0;
  Revision last_prefix_watch_revision_;
  ChangesCallback prefix_watch_callback_;
  std::size_t last_watch_max_bytes_ = 0;
  ContentsCallback read_callback_;
  ChangesCallback watch_callback_;
};

}  // namespace sycamorestall::testing
