#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace sycamorestall::fakes {

// Runs tasks after a delay, on one thread. Tasks still waiting at destruction are dropped.
class DelayedRunner {
 public:
  DelayedRunner();
  ~DelayedRunner();
  DelayedRunner(const DelayedRunner&) = delete;
  DelayedRunner& operator=(const DelayedRunner&) = delete;

  // Schedules a task; may be called from any thread.
  void RunAfter(std::chrono::microseconds delay, std::function<void()> task);

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable wake_;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> tasks_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace sycamorestall::fakes
