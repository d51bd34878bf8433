#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace sycamorestall {

// The thread on which a daemon takes its decisions. Everything that arrives on
// other threads is posted to it.
class EventLoop {
 public:
  // Runs a function on the loop, soon; may be called from any thread.
  template <typename Function>
  void Post(Function&& function) {
    boost::asio::post(context_, std::forward<Function>(function));
  }

  boost::asio::io_context& context() { return context_; }

 private:
  boost::asio::io_context context_{1};
};

}  // namespace sycamorestall
