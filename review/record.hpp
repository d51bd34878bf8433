// The record of a test: what was sent, answered and run, with times.
#pragma once

#include <cstdio>
#include <mutex>
#include <string>

#include "http.hpp"

namespace standin {

class Record {
 public:
  explicit Record(const std::string& file) : file_(std::fopen(file.c_str(), "w")) {
    if (file_ == nullptr) {
      std::perror(file.c_str());
      std::exit(2);
    }
  }

  // Seconds since the start of the test.
  double Now() const { return SecondsSince(start_); }
  void Write(const std::string& line) {
    const std::lock_guard lock{mutex_};
    std::fprintf(file_, "%9.3f %s\n", Now(), line.c_str());
    std::fflush(file_);
  }
  // Writes a line also to standard output.
  void Report(const std::string& line) {
    Write(line);
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
  const Clock::time_point start_ = Clock::now();
};

}  // namespace standin
