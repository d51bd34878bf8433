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

void DelayedRunner::RunAfter(std::chrono::microseconds delay, std::function<void()> task) {
  bool is_earliest = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto added = tasks_.emplace(std::chrono::steady_clock::now() + delay, std::move(task));
    is_earliest = added == tasks_.begin();
  }
  if (is_earliest) {
    wake_.notify_one();
  }
}

void DelayedRunner::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (tasks_.empty()) {
      wake_.wait(lock);
      continue;
    }
    const auto due = tasks_.begin()->first;
    if (std::chrono::steady_clock::now() < due) {
      wake_.wait_until(lock, due);
      continue;
    }
    const std::function<void()> task = std::move(tasks_.begin()->second);
    tasks_.erase(tasks_.begin());
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace sycamorestall::fakes
