#include "log/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>

namespace sycamorestall {

namespace {

constexpr int kQueuedLines = 16384;

log4cxx::LoggerPtr& Root() {
  static log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("sycamorestall");
  return logger;
}

log4cxx::LevelPtr Convert(LogLevel level) {
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
  queue->setBufferSize(kQueuedLines);
  queue->setBlocking(false);
  queue->addAppender(console);
  Root()->removeAllAppenders();
  Root()->setAdditivity(false);
  Root()->addAppender(queue);
  SetLogLevel(level);
}

void SetLogLevel(LogLevel level) { Root()->setLevel(Convert(level)); }

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

void StopLog() { Root()->removeAllAppenders(); }

bool PartLog::Enabled(LogLevel level) const { return Root()->isEnabledFor(Convert(level)); }

void PartLog::Write(LogLevel level, std::string_view sentence) const {
  if (!Enabled(level)) {
    return;
  }
  std::string line;
  line.reserve(prefix_.size() + 2 + sentence.size());
  line.append(prefix_).append(": ").append(sentence);
  Root()->forcedLog(Convert(level), line, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

}  // namespace sycamorestall
