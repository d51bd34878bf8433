#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <thread>
#include <vector>

#include "core/network_address.h"

namespace sycamorestall::fakes {

// How a scripted server ends a connection after its bytes.
enum class ScriptEnd { kKeep, kClose };

// Answers each request that arrives on a connection with the same bytes, whatever
// they are. The request's id can stand in them as @ID@.
struct Script {
  std::string bytes;
  ScriptEnd end = ScriptEnd::kKeep;
  // Answers before the body of the request has come.
  bool early = false;
  // Connections whose requests are answered; later ones are kept in silence.
  int answered_connections = 1000;
};

// A server of raw bytes, for answers that no proper server gives.
class ScriptedServer {
 public:
  explicit ScriptedServer(Script script);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  NetworkAddress address() const;

 private:
  void Serve();
  void ServeConnection(boost::asio::ip::tcp::socket socket, bool answers);

  const Script script_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::thread> connections_;
  std::vector<int> sockets_;
  std::thread thread_;
};

}  // namespace sycamorestall::fakes
