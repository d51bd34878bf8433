#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <utility>
#include <vector>

#include "http/http_message.h"

namespace sycamorestall::http {

// Carries answers from any thread to the worker that owns the connection. The
// worker polls its event descriptor.
class WorkerMailbox {
 public:
  // An answer and the request that it belongs to.
  struct Letter {
    std::uint64_t number = 0;
    Response response;
  };

  WorkerMailbox();
  ~WorkerMailbox();
  WorkerMailbox(const WorkerMailbox&) = delete;
  WorkerMailbox& operator=(const WorkerMailbox&) = delete;

  // Puts an answer in and wakes the worker.
  void Post(Letter letter);
  // Takes all answers out; called by the worker alone.
  std::vector<Letter> TakeAll();

  int descriptor() const { return descriptor_; }

 private:
  int descriptor_;
  std::mutex mutex_;
  std::vector<Letter> letters_;
};

}  // namespace sycamorestall::http
