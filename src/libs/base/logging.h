#ifndef BASILSPUR_BASE_LOGGING_H_
#define BASILSPUR_BASE_LOGGING_H_

#include <string>
#include <string_view>

#include "base/log_budget.h"

namespace basilspur {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// A part's logging category; its name is the fixed prefix of each line.
///
/// Thread safety: any thread.
class LogCategory {
 public:
  /// Precondition: `prefix` outlives the category.
  constexpr explicit LogCategory(const char* prefix) : prefix_(prefix) {}

  void Debug(std::string_view sentence) const;
  void Info(std::string_view sentence) const;
  void Warning(std::string_view sentence) const;
  void Error(std::string_view sentence) const;

 private:
  const char* prefix_;
};

/// Opens the console log. Call once, before the first thread starts.
void InitLogging(LogLevel level);

/// Bounds the lines of each kind of event from now on, and drops lines that
/// standard output would make the process wait for. The next line of that kind
/// says how many were left out. Call before the first thread starts.
void BoundLogging(LogBudget::Limits limits);

/// Changes the level of all categories; safe while the process runs.
void SetLogLevel(LogLevel level);

/// Reads "debug", "info", "warning" or "error"; false for any other text.
bool ParseLogLevel(std::string_view text, LogLevel* level);

}  // namespace basilspur

#endif  // BASILSPUR_BASE_LOGGING_H_
