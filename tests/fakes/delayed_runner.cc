#include "fakes/delayed_runner.h"

#include <utility>

namespace sycamorestall::fakes {

DelayedRunner::DelayedRunner() : thread_([this] { Run(); }) {}

DelayedRunner::~DelayedRunner() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void DelayedRunner::After(std::chrono::microseconds delay, std::function<void()> function) {
  bool earliest = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto added = due_.emplace(std::chrono::steady_clock::now() + delay, std::move(function));
    earliest = added == due_.begin();
  }
  if (earliest) {
    wake_.notify_one();
  }
}

void DelayedRunner::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (due_.empty()) {
      wake_.wait(lock);
      continue;
    }
    const auto first = due_.begin()->first;
    if (std::chrono::steady_clock::now() < first) {
      wake_.wait_until(lock, first);
      continue;
    }
    const std::function<void()> function = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    lock.unlock();
    function();
    lock.lock();
  }
}

}  // namespace sycamorestall::fakes
