#include "http/worker_mailbox.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <system_error>

namespace sycamorestall::http {

WorkerMailbox::WorkerMailbox() : descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (descriptor_ < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
}

WorkerMailbox::~WorkerMailbox() { close(descriptor_); }

void WorkerMailbox::Post(Letter letter) {
  bool was_empty = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    was_empty = letters_.empty();
    letters_.push_back(std::move(letter));
  }
  if (was_empty) {
    eventfd_write(descriptor_, 1);
  }
}

std::vector<WorkerMailbox::Letter> WorkerMailbox::TakeAll() {
  // The event is cleared before the letters are taken, so a letter that comes
  // in between leaves the event set and is seen next time.
  eventfd_t value = 0;
  eventfd_read(descriptor_, &value);
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(letters_, {});
}

}  // namespace sycamorestall::http
