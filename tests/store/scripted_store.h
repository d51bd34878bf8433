#pragma once

#include <vector>

#include "store/store.h"

namespace sycamorestall::testing {

// A store whose calls a test answers by hand.
class ScriptedStore : public Store {
 public:
  void ReadAll(ContentsCallback callback) override {
    ++reads_;
    read_ = std::move(callback);
  }
  void Watch(Revision after, std::chrono::milliseconds /*wait*/,
             ChangesCallback callback) override {
    ++watches_;
    watched_after_ = after;
    watch_ = std::move(callback);
  }
  void Commit(const StoreChange& /*change*/, CommitCallback /*callback*/) override {}
  void OpenLease(std::chrono::milliseconds /*time_to_live*/, LeaseCallback /*callback*/) override {}
  void RenewLease(LeaseId /*lease*/, LeaseCallback /*callback*/) override {}
  void EndLease(LeaseId /*lease*/) override {}
  std::vector<StoreCallCount> CallCounts() const override { return {}; }

  void AnswerRead(Contents contents, std::error_code error = {}) {
    std::exchange(read_, nullptr)(error, std::move(contents));
  }
  void AnswerWatch(Changes changes, std::error_code error = {}) {
    std::exchange(watch_, nullptr)(error, std::move(changes));
  }
  // Whether a call waits for its answer.
  bool reading() const { return read_ != nullptr; }
  bool watching() const { return watch_ != nullptr; }
  int reads() const { return reads_; }
  int watches() const { return watches_; }
  Revision watched_after() const { return watched_after_; }

 private:
  int reads_ = 0;
  int watches_ = 0;
  Revision watched_after_;
  ContentsCallback read_;
  ChangesCallback watch_;
};

}  // namespace sycamorestall::testing
