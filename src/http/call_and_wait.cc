#include <future>
#include <utility>

#include "http/http_client.h"

namespace sycamorestall::http {

CallResult CallAndWait(Call call) {
  HttpClient client{ClientSettings{}};
  std::promise<CallResult> promise;
  std::future<CallResult> future = promise.get_future();
  client.StartCall(std::move(call),
                   [&promise](CallResult result) { promise.set_value(std::move(result)); });
  return future.get();
}

}  // namespace sycamorestall::http
