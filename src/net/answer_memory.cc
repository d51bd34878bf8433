#include "net/answer_memory.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace sycamorestall {

namespace {

struct Tier {
  // Up to this total of all answers ...
  std::size_t total_bytes;
  // ... an answer may have so many bytes.
  std::size_t answer_bytes;
};

constexpr std::size_t kKibibyte = 1024;
// Beyond the last total, answers of the last size still pass: they are the most frequent, and the
// number of connections bounds them.
constexpr std::array<Tier, 3> kTiers{{{32 * kKibibyte * kKibibyte, SIZE_MAX},
                                      {48 * kKibibyte * kKibibyte, 256 * kKibibyte},
                                      {SIZE_MAX, 32 * kKibibyte}}};

}  // namespace

bool AnswerMemory::Change(std::size_t& held, std::size_t bytes) {
  total_ -= held;
  total_ += bytes;
  held = bytes;
  reservation_.Resize(total_);
  if (account_ && account_->IsExhausted() && bytes > kTiers.back().answer_bytes) {
    return false;
  }
  const auto tier = std::find_if(kTiers.begin(), kTiers.end(),
                                 [this](const Tier& each) { return total_ <= each.total_bytes; });
  return bytes <= tier->answer_bytes;
}

}  // namespace sycamorestall
