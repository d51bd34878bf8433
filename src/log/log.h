#pragma once

#include <string>
#include <string_view>

namespace sycamorestall {

// How much is logged.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Sets up logging to the standard output: lines are queued and written by
// a thread of their own, and dropped when that cannot keep up.
void StartLog(LogLevel level);
// Changes the level while the program runs.
void SetLogLevel(LogLevel level);
// Reads a level's name (debug, info, warning, error); false when it is none.
bool ParseLogLevel(std::string_view text, LogLevel& level);
// Writes out what is queued.
void StopLog();

// The log of one part of the program. Every line starts with the part's prefix.
class PartLog {
 public:
  explicit PartLog(std::string prefix) : prefix_(std::move(prefix)) {}

  // Whether lines of that level are written, to spare the making of them.
  bool Enabled(LogLevel level) const;
  // Writes a short sentence.
  void Write(LogLevel level, std::string_view sentence) const;
  void Info(std::string_view sentence) const { Write(LogLevel::kInfo, sentence); }
  void Warning(std::string_view sentence) const { Write(LogLevel::kWarning, sentence); }
  void Error(std::string_view sentence) const { Write(LogLevel::kError, sentence); }

 private:
  std::string prefix_;
};

}  // namespace sycamorestall
