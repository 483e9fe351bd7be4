#ifndef BASILSPUR_SETTINGS_SETTINGS_LOADER_H_
#define BASILSPUR_SETTINGS_SETTINGS_LOADER_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "settings/settings.h"

namespace basilspur::settings {

/// An error in a settings file.
struct SettingsError {
  std::string file;
  int line = 0;  ///< Starts at 1; 0: the error belongs to no line.
  std::string key;
  std::string expected;

  /// Returns "FILE:LINE: KEY: expected ...".
  std::string ToString() const;
};

/// Parses settings from YAML and validates each value and their combinations.
/// Returns all errors at once. Thread safety: any thread.
std::variant<Settings, std::vector<SettingsError>> ParseSettings(
    std::string_view yaml, const std::string& file_name);

/// Parses a settings file; a file that can't be read is reported as an error.
/// Thread safety: any thread.
std::variant<Settings, std::vector<SettingsError>> LoadSettings(
    const std::string& file_name);

}  // namespace basilspur::settings

#endif  // BASILSPUR_SETTINGS_SETTINGS_LOADER_H_
