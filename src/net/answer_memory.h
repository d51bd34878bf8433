#pragma once

#include <cstddef>
#include <memory>

#include "core/memory_account.h"

namespace sycamorestall {

// Limits the bytes of unfinished answers that all connections of a pool hold together.
class AnswerMemory {
 public:
  // The answers count in the account too, if there is one.
  explicit AnswerMemory(std::shared_ptr<MemoryAccount> account = nullptr)
      : account_(std::move(account)), reservation_(account_) {}

  // Changes the bytes that a connection holds from `held` to `bytes`. Returns whether it may hold
  // them: the more all connections hold, the smaller an answer has to be to grow on.
  bool Change(std::size_t& held, std::size_t bytes);
  // The bytes that all connections hold.
  std::size_t total() const { return total_; }
  // The account in which the answers count; null if there is none.
  const std::shared_ptr<MemoryAccount>& account() const { return account_; }

 private:
  const std::shared_ptr<MemoryAccount> account_;
  MemoryReservation reservation_;
  std::size_t total_ = 0;
};

}  // namespace sycamorestall
