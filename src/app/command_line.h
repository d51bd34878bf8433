#pragma once

namespace sycamorestall {

// Exit status of the command.
enum class ExitStatus {
  kSuccess = 0,
  // Any failure without a status of its own.
  kFailed = 1,
  kBadArguments = 2,
  kBadSettings = 3,
  // Another change came first: the expected version is not in force.
  kConflict = 4,
  // A document of plans or customers is not valid.
  kBadDocument = 5,
  kDaemonUnreachable = 6,
  // A change was accepted but is not yet in force everywhere.
  kNotYetInForce = 7,
};

// Runs the command with the arguments of main; returns an ExitStatus as a number.
int RunCommandLine(int argc, char** argv);

}  // namespace sycamorestall
