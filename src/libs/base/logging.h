#ifndef BASILSPUR_BASE_LOGGING_H_
#define BASILSPUR_BASE_LOGGING_H_

#include <string>
#include <string_view>

#include "base/log_rate_limiter.h"

namespace basilspur {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// A logging category of one component. Its name is the prefix of each line.
///
/// Thread safety: any thread.
class LogCategory {
 public:
  /// Precondition: `prefix` must outlive the category.
  constexpr explicit LogCategory(const char* prefix) : prefix_(prefix) {}

  void Debug(std::string_view message) const;
  void Info(std::string_view message) const;
  void Warning(std::string_view message) const;
  void Error(std::string_view message) const;

 private:
  const char* prefix_;
};

/// Initializes logging to the console. Call once, before the first thread
/// starts.
void InitLogging(LogLevel level);

/// Limits the rate of lines per event name from now on, and drops lines while
/// standard output is not writable, so that logging does not block the process.
/// The next line with that event name reports the number of lines that were
/// left out. Call before the first thread starts.
void LimitLogRate(LogRateLimiter::Limits limits);

/// Changes the level of all categories. May be called at any time.
void SetLogLevel(LogLevel level);

/// Parses "debug", "info", "warning" or "error". Returns false for any other
/// text.
bool ParseLogLevel(std::string_view text, LogLevel* level);

}  // namespace basilspur

#endif  // BASILSPUR_BASE_LOGGING_H_
