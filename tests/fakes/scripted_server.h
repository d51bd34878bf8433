#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "core/network_address.h"

namespace sycamorestall::fakes {

// Whether a scripted server keeps, closes or resets a connection after an answer.
enum class ScriptEnd { kKeep, kClose, kReset };

// Answer of a scripted server to every request: arbitrary bytes, in which each @ID@ is replaced
// by the request's id.
struct Script {
  std::string bytes;
  ScriptEnd end = ScriptEnd::kKeep;
  // Whether to answer before the body of the request has arrived.
  bool answers_before_body = false;
  // Number of connections that are answered; later ones stay open without an answer.
  int answered_connections = 1000;
  // Sent after the answer again and again, until the client closes the connection; unless empty.
  std::string repeated_bytes = {};
  // A second answer to the request before on the connection, sent where the answer to the next
  // request is expected; unless empty.
  std::string late_bytes = {};
  // Sent after the answer, a service time later; unless empty.
  std::string trailing_bytes = {};
  // Whether only so many bytes of the answer are sent as the last part of the request's path says.
  bool cuts_answers = false;
  // How long each request takes until the first of its bytes, and again between the late bytes and
  // the answer.
  std::chrono::milliseconds service_time{0};
};

// Server that sends scripted bytes, for malformed answers.
class ScriptedServer {
 public:
  explicit ScriptedServer(Script script);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  NetworkAddress address() const;
  // Number of connections that send repeated bytes now.
  int endless_connections() const { return endless_connections_; }
  // Number of requests received.
  int requests() const { return requests_; }

 private:
  void AcceptConnections();
  void ServeConnection(boost::asio::ip::tcp::socket socket, bool send_answers);

  void SendRepeatedBytes(boost::asio::ip::tcp::socket& socket);

  const Script script_;
  std::atomic<int> endless_connections_{0};
  std::atomic<int> requests_{0};
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::thread> connections_;
  std::vector<int> sockets_;
  std::thread thread_;
};

}  // namespace sycamorestall::fakes
