#pragma once

#include <cstddef>

namespace sycamorestall {

// Limits the bytes of unfinished answers that all connections of a pool hold together.
class AnswerMemory {
 public:
  // Changes the bytes that a connection holds from `held` to `bytes`. Returns whether it may hold
  // them: the more all connections hold, the smaller an answer has to be to grow on.
  bool Change(std::size_t& held, std::size_t bytes);
  // The bytes that all connections hold.
  std::size_t total() const { return total_; }

 private:
  std::size_t total_ = 0;
};

}  // namespace sycamorestall
