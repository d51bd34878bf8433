#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace sycamorestall::fakes {

// Runs functions after a delay, on one thread.
class DelayedRunner {
 public:
  DelayedRunner();
  ~DelayedRunner();
  DelayedRunner(const DelayedRunner&) = delete;
  DelayedRunner& operator=(const DelayedRunner&) = delete;

  // Runs the function when the delay has passed.
  void After(std::chrono::microseconds delay, std::function<void()> function);

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable wake_;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> due_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace sycamorestall::fakes
