#pragma once

#include <string>
#include <string_view>

#include "core/boot_clock.h"

namespace sycamorestall {

// Severity of a log line, and the minimum severity that is logged.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Starts logging to standard output. Lines are queued and written by a separate thread; lines are
// dropped when the queue is full.
void StartLog(LogLevel level);
// Changes the log level at run time.
void SetLogLevel(LogLevel level);
// Parses a level's name (debug, info, warning, error) into level; returns false, leaving level
// unchanged, for any other text.
bool ParseLogLevel(std::string_view text, LogLevel& level);
// Writes all queued lines and stops logging.
void StopLog();

// Formats a duration in whole milliseconds.
std::string FormatMilliseconds(Duration duration);

// Logger of one component; its prefix starts every line.
class ComponentLog {
 public:
  explicit ComponentLog(std::string prefix) : prefix_(std::move(prefix)) {}

  // Whether lines of the level are logged. Callers check it to avoid building messages that would
  // be discarded.
  bool IsEnabled(LogLevel level) const;
  // Logs a message of one line if the level is enabled.
  void Write(LogLevel level, std::string_view message) const;
  void Info(std::string_view message) const { Write(LogLevel::kInfo, message); }
  void Warning(std::string_view message) const { Write(LogLevel::kWarning, message); }
  void Error(std::string_view message) const { Write(LogLevel::kError, message); }

 private:
  std::string prefix_;
};

}  // namespace sycamorestall
