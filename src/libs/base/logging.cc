#include "base/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <poll.h>
#include <unistd.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace basilspur {

static log4cplus::LogLevel ToLibraryLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

/// A pipe that is writable takes this much at once, with room for the prefix.
static constexpr std::size_t kLongestLine = 3'800;

namespace {

struct BoundedLog {
  std::mutex mutex;
  std::optional<LogBudget> budget;
  SystemClock clock;
};

}  // namespace

static BoundedLog& Bounded() {
  static BoundedLog log;
  return log;
}

static bool WritesWithoutWaiting() {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, /*timeout=*/0) == 1 &&
         (output.revents & POLLOUT) != 0;
}

/// The line to write; empty if it is left out.
static std::string Admit(std::string_view sentence) {
  BoundedLog& log = Bounded();
  const std::lock_guard lock(log.mutex);
  std::string line(sentence);
  if (!log.budget) return line;
  const std::int64_t left_out =
      log.budget->Take(sentence, log.clock.Monotonic());
  if (left_out < 0) return {};
  if (!WritesWithoutWaiting()) {
    log.budget->OnDropped(sentence, left_out + 1);
    return {};
  }
  if (line.size() > kLongestLine) line.resize(kLongestLine);
  if (left_out > 0) line += " left_out=" + std::to_string(left_out);
  return line;
}

static void Write(const char* prefix, log4cplus::LogLevel level,
                  std::string_view sentence) {
  const log4cplus::Logger logger = log4cplus::Logger::getInstance(prefix);
  if (!logger.isEnabledFor(level)) return;
  const std::string line = Admit(sentence);
  if (!line.empty()) logger.forcedLog(level, line);
}

void LogCategory::Debug(std::string_view sentence) const {
  Write(prefix_, log4cplus::DEBUG_LOG_LEVEL, sentence);
}

void LogCategory::Info(std::string_view sentence) const {
  Write(prefix_, log4cplus::INFO_LOG_LEVEL, sentence);
}

void LogCategory::Warning(std::string_view sentence) const {
  Write(prefix_, log4cplus::WARN_LOG_LEVEL, sentence);
}

void LogCategory::Error(std::string_view sentence) const {
  Write(prefix_, log4cplus::ERROR_LOG_LEVEL, sentence);
}

void InitLogging(LogLevel level) {
  log4cplus::initialize();
  log4cplus::helpers::SharedObjectPtr<log4cplus::Appender> appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/false,
                                     /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c: %m%n"));
  log4cplus::Logger::getRoot().addAppender(appender);
  SetLogLevel(level);
}

void BoundLogging(LogBudget::Limits limits) {
  Bounded().budget.emplace(limits);
}

void SetLogLevel(LogLevel level) {
  log4cplus::Logger::getRoot().setLogLevel(ToLibraryLevel(level));
}

bool ParseLogLevel(std::string_view text, LogLevel* level) {
  static const std::map<std::string_view, LogLevel> kLevels = {
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warning", LogLevel::kWarning},
      {"error", LogLevel::kError}};
  const auto found = kLevels.find(text);
  if (found == kLevels.end()) return false;
  *level = found->second;
  return true;
}

}  // namespace basilspur
