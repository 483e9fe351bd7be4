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

/// A pipe that poll() reports as writable accepts PIPE_BUF (4096) bytes without
/// blocking; the rest is for the prefix of the line.
static constexpr std::size_t kMaxLineBytes = 3'800;

namespace {

struct RateLimitState {
  std::mutex mutex;
  std::optional<LogRateLimiter> rate_limiter;
  SystemClock clock;
};

}  // namespace

static RateLimitState& GetRateLimitState() {
  static RateLimitState state;
  return state;
}

static bool IsOutputWritable() {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, /*timeout=*/0) == 1 &&
         (output.revents & POLLOUT) != 0;
}

/// Returns the line to write, or an empty text if the line is left out.
static std::string FormatAdmitted(std::string_view message) {
  RateLimitState& state = GetRateLimitState();
  const std::lock_guard lock(state.mutex);
  std::string line(message);
  if (!state.rate_limiter) return line;
  const std::int64_t left_out =
      state.rate_limiter->Admit(message, state.clock.Monotonic());
  if (left_out < 0) return {};
  if (!IsOutputWritable()) {
    state.rate_limiter->OnLinesDropped(message, left_out + 1);
    return {};
  }
  if (line.size() > kMaxLineBytes) line.resize(kMaxLineBytes);
  if (left_out > 0) line += " left_out=" + std::to_string(left_out);
  return line;
}

static void Write(const char* prefix, log4cplus::LogLevel level,
                  std::string_view message) {
  const log4cplus::Logger logger = log4cplus::Logger::getInstance(prefix);
  if (!logger.isEnabledFor(level)) return;
  const std::string line = FormatAdmitted(message);
  if (!line.empty()) logger.forcedLog(level, line);
}

void LogCategory::Debug(std::string_view message) const {
  Write(prefix_, log4cplus::DEBUG_LOG_LEVEL, message);
}

void LogCategory::Info(std::string_view message) const {
  Write(prefix_, log4cplus::INFO_LOG_LEVEL, message);
}

void LogCategory::Warning(std::string_view message) const {
  Write(prefix_, log4cplus::WARN_LOG_LEVEL, message);
}

void LogCategory::Error(std::string_view message) const {
  Write(prefix_, log4cplus::ERROR_LOG_LEVEL, message);
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

void LimitLogRate(LogRateLimiter::Limits limits) {
  GetRateLimitState().rate_limiter.emplace(limits);
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
