#pragma once

namespace sycamorestall {

// The exit statuses of the command.
enum class ExitStatus {
  kDone = 0,
  // Something went wrong that has no status of its own.
  kFailed = 1,
  kBadArguments = 2,
  kBadSettings = 3,
  // Another operator's change came first.
  kConflict = 4,
  // A list was refused because it is not valid.
  kBadDocument = 5,
  kDaemonNotReached = 6,
  // A change was accepted but is not yet in force everywhere.
  kNotInForce = 7,
};

// Runs the command with the arguments of main; gives the exit status.
int RunCommandLine(int argc, char** argv);

}  // namespace sycamorestall
