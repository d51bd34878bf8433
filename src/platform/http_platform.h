#pragma once

#include <chrono>
#include <string>

#include "http/http_client.h"
#include "platform/platform.h"

namespace sycamorestall {

// Accesses the platform's store and instance list over HTTP.
class HttpPlatform : public Platform {
 public:
  // The origin is of the form http://10.0.0.5:7000. The caller's name is sent with each request, so
  // that the platform can count requests by caller.
  HttpPlatform(std::string origin, std::string caller, std::chrono::milliseconds timeout);

  void Read(const std::string& key, ReadCallback callback) override;
  void ReadPrefix(const std::string& prefix, ListCallback callback) override;
  void CompareAndSwap(const std::string& key, const std::string& text, Revision expected,
                      SwapCallback callback) override;
  void Watch(const std::string& key, Revision above, std::chrono::milliseconds wait,
             ReadCallback callback) override;
  void ReadInstances(InstancesCallback callback) override;

  // Cancels all calls in flight.
  void Stop() { client_.Stop(); }

 private:
  http::Call MakeCall(http::Method method, const std::string& path) const;
  void StartRead(http::Call call, ReadCallback callback);

  std::string origin_;
  std::string caller_;
  std::chrono::milliseconds timeout_;
  http::HttpClient client_;
};

}  // namespace sycamorestall
