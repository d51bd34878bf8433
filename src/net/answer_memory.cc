#include "net/answer_memory.h"

namespace sycamorestall {

namespace {

constexpr std::size_t kMaxTotalBytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t kSmallAnswerBytes = std::size_t{256} * 1024;

}  // namespace

bool AnswerMemory::Change(std::size_t& held, std::size_t bytes) {
  total_ -= held;
  total_ += bytes;
  held = bytes;
  return total_ <= kMaxTotalBytes || bytes <= kSmallAnswerBytes;
}

}  // namespace sycamorestall
