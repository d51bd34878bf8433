#pragma once

#include <chrono>
#include <string>

#include "app/command_line.h"
#include "http/http_message.h"

namespace sycamorestall {

// The operators' commands: each asks one daemon over HTTP and prints what it
// says to the standard output, errors to the standard error stream.
class OperatorClient {
 public:
  // The origin of the daemon, such as http://127.0.0.1:8080.
  explicit OperatorClient(std::string origin) : origin_(std::move(origin)) {}

  // Prints the state of the daemon and of what it knows.
  ExitStatus Status() const;
  // Prints how a key stands.
  ExitStatus Explain(const std::string& service, const std::string& key) const;
  // Asks the daemon to leave.
  ExitStatus Drain() const;
  // Prints a list (plans or customers) or its history.
  ExitStatus ShowDocument(const std::string& name, bool history) const;
  // Reads a list from a TOML file and applies it. The expected version is the
  // one in force unless it is given (not negative). With wait, returns when
  // every living daemon has it in force, or after the patience.
  ExitStatus Apply(const std::string& name, const std::string& file, std::int64_t expected_version,
                   const std::string& author, bool wait, std::chrono::seconds patience) const;

 private:
  ExitStatus Show(const std::string& path) const;
  ExitStatus WaitInForce(const std::string& name, std::uint64_t version,
                         std::chrono::seconds patience) const;

  std::string origin_;
};

}  // namespace sycamorestall
