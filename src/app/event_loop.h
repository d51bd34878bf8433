#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace sycamorestall {

// The event loop on which a daemon's state is read and changed, by one thread.
// Results that arrive on other threads are posted to it.
class EventLoop {
 public:
  // Queues a function to run on the loop; may be called from any thread.
  template <typename Function>
  void Post(Function&& function) {
    boost::asio::post(context_, std::forward<Function>(function));
  }

  boost::asio::io_context& context() { return context_; }

 private:
  boost::asio::io_context context_{1};
};

}  // namespace sycamorestall
