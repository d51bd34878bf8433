#pragma once

#include <chrono>
#include <string>

#include "app/command_line.h"
#include "http/http_message.h"

namespace sycamorestall {

// The operators' commands: each sends requests to one daemon over HTTP and prints
// the answer to the standard output, or errors to the standard error stream.
class OperatorClient {
 public:
  // origin is the URL of the daemon without a path, such as http://127.0.0.1:8080.
  explicit OperatorClient(std::string origin) : origin_(std::move(origin)) {}

  // Prints the status of the daemon and of the daemons and groups known to it.
  ExitStatus Status() const;
  // Prints the state of a key and its owner.
  ExitStatus Explain(const std::string& service, const std::string& key) const;
  // Starts a graceful stop of the daemon.
  ExitStatus Drain() const;
  // Prints a document (plans or customers) or its history.
  ExitStatus ShowDocument(const std::string& name, bool history) const;
  // Replaces a document by the content of a TOML file. A negative expected version
  // stands for the one in force. With wait, returns when the document is in force on
  // every living daemon, or kNotYetInForce after the timeout.
  ExitStatus Apply(const std::string& name, const std::string& file, std::int64_t expected_version,
                   const std::string& author, bool wait, std::chrono::seconds timeout) const;

 private:
  ExitStatus PrintAnswer(const std::string& path) const;
  ExitStatus WaitUntilInForce(const std::string& name, std::uint64_t version,
                              std::chrono::seconds timeout) const;

  std::string origin_;
};

}  // namespace sycamorestall
