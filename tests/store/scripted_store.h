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
  void AbandonReads() override {
    read_callback_ = nullptr;
    watch_callback_ = nullptr;
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
  // Sets the era that answers to other calls have told.
  void SetEra(StoreEra era) { era_ = era; }
  // Whether a read or watch waits for its answer.
  bool reading() const { return read_callback_ != nullptr; }
  bool watching() const { return watch_callback_ != nullptr; }
  int read_count() const { return read_count_; }
  int watch_count() const { return watch_count_; }
  Revision last_watch_revision() const { return last_watch_revision_; }
  std::size_t last_watch_max_bytes() const { return last_watch_max_bytes_; }

 private:
  StoreEra era_;
  int read_count_ = 0;
  int watch_count_ = 0;
  Revision last_watch_revision_;
  std::size_t last_watch_max_bytes_ = 0;
  ContentsCallback read_callback_;
  ChangesCallback watch_callback_;
};

}  // namespace sycamorestall::testing
