#include "log/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>

namespace sycamorestall {

namespace {

constexpr int kMaxQueuedLines = 16384;

log4cxx::LoggerPtr& RootLogger() {
  static log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("sycamorestall");
  return logger;
}

log4cxx::LevelPtr ToLog4cxxLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      break;
  }
  return log4cxx::Level::getError();
}

}  // namespace

void StartLog(LogLevel level) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p %m%n");
  const auto console =
      std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
  const auto queue = std::make_shared<log4cxx::AsyncAppender>();
  queue->setBufferSize(kMaxQueuedLines);
  queue->setBlocking(false);
  queue->addAppender(console);
  RootLogger()->removeAllAppenders();
  RootLogger()->setAdditivity(false);
  RootLogger()->addAppender(queue);
  SetLogLevel(level);
}

void SetLogLevel(LogLevel level) { RootLogger()->setLevel(ToLog4cxxLevel(level)); }

std::string FormatMilliseconds(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

bool ParseLogLevel(std::string_view text, LogLevel& level) {
  struct Entry {
    std::string_view name;
    LogLevel level;
  };
  constexpr Entry kLevels[] = {{"debug", LogLevel::kDebug},
                               {"info", LogLevel::kInfo},
                               {"warning", LogLevel::kWarning},
                               {"error", LogLevel::kError}};
  for (const Entry& entry : kLevels) {
    if (entry.name == text) {
      level = entry.level;
      return true;
    }
  }
  return false;
}

void StopLog() { RootLogger()->removeAllAppenders(); }

bool ComponentLog::IsEnabled(LogLevel level) const {
  return RootLogger()->isEnabledFor(ToLog4cxxLevel(level));
}

void ComponentLog::Write(LogLevel level, std::string_view message) const {
  if (!IsEnabled(level)) {
    return;
  }
  std::string line;
  line.reserve(prefix_.size() + 2 + message.size());
  line.append(prefix_).append(": ").append(message);
  RootLogger()->forcedLog(ToLog4cxxLevel(level), line,
                          log4cxx::spi::LocationInfo::getLocationUnavailable());
}

}  // namespace sycamorestall
