#pragma once

#include <cstddef>

namespace sycamorestall {

// Limits the bytes of unfinished answers that all connections of a pool hold together.
class AnswerMemory {
 public:
  // Changes the bytes that a connection holds from `held` to `bytes`. Returns whether it may hold
  // them: once the limit is reached, small answers may still grow, and large ones may not.
  bool Change(std::size_t& held, std::size_t bytes);

 private:
  std::size_t total_ = 0;
};

}  // namespace sycamorestall
