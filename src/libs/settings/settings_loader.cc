#include "settings/settings_loader.h"

#include <yaml-cpp/yaml.h>

#include <array>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "net/address.h"

namespace basilspur::settings {

namespace {

/// A key with an integer value and its permitted range.
struct NumberKey {
  const char* section;
  const char* key;
  std::int64_t Settings::*member;
  std::int64_t min;
  std::int64_t max;
  const char* unit;
};

enum class TextKind { kName, kAddress };

/// A key with a name or an address as its value.
struct TextKey {
  const char* section;
  const char* key;
  std::string Settings::*member;
  TextKind kind;
  bool required;
};

/// A key with one of several permitted values.
struct ChoiceKey {
  const char* section;
  const char* key;
  std::string Settings::*member;
  std::vector<std::string> choices;
};

constexpr std::int64_t kMaxMillis = 86'400'000;
constexpr std::int64_t kMaxBytes = 1LL << 40;

const std::array kTextKeys = {
    TextKey{"entry", "name", &Settings::entry_name, TextKind::kName, true},
    TextKey{"entry", "data_center", &Settings::data_center, TextKind::kName,
            true},
    TextKey{"entry", "vm", &Settings::vm, TextKind::kName, true},
    TextKey{"entry", "cell", &Settings::cell, TextKind::kName, false},
    TextKey{"listen", "callers", &Settings::callers_address, TextKind::kAddress,
            true},
    TextKey{"listen", "operators", &Settings::operators_address,
            TextKind::kAddress, true},
    TextKey{"listen", "links", &Settings::links_address, TextKind::kAddress,
            true},
    TextKey{"listen", "status", &Settings::status_address, TextKind::kAddress,
            true},
    TextKey{"platform", "log", &Settings::log_address, TextKind::kAddress,
            true},
    TextKey{"platform", "vms", &Settings::vm_directory_address,
            TextKind::kAddress, true},
};

const std::array kNumberKeys = {
    NumberKey{"platform", "timeout_ms", &Settings::platform_timeout_ms, 10,
              kMaxMillis, "milliseconds"},
    NumberKey{"platform", "vms_interval_ms", &Settings::vm_list_interval_ms, 10,
              kMaxMillis, "milliseconds"},
    NumberKey{"platform", "snapshot_records",
              &Settings::snapshot_interval_records, 1, 1'000'000'000,
              "records"},
    NumberKey{"platform", "snapshot_interval_ms",
              &Settings::snapshot_interval_ms, 100, kMaxMillis, "milliseconds"},
    NumberKey{"lease", "length_ms", &Settings::lease_length_ms, 500, kMaxMillis,
              "milliseconds"},
    NumberKey{"lease", "renew_interval_ms", &Settings::lease_renew_interval_ms,
              50, kMaxMillis, "milliseconds"},
    NumberKey{"lease", "clock_drift_ms", &Settings::clock_drift_ms, 1,
              kMaxMillis, "milliseconds"},
    NumberKey{"limits", "header_bytes", &Settings::max_header_bytes, 1'024,
              48 * 1024, "bytes"},
    NumberKey{"limits", "body_bytes", &Settings::max_body_bytes, 0, kMaxBytes,
              "bytes"},
    NumberKey{"limits", "header_timeout_ms", &Settings::header_timeout_ms, 10,
              kMaxMillis, "milliseconds"},
    NumberKey{"limits", "body_idle_timeout_ms", &Settings::body_idle_timeout_ms,
              10, kMaxMillis, "milliseconds"},
    NumberKey{"limits", "caller_connections", &Settings::max_caller_connections,
              1, 1'000'000, "connections"},
    NumberKey{"limits", "drain_ms", &Settings::drain_grace_ms, 0, kMaxMillis,
              "milliseconds"},
    NumberKey{"limits", "drain_limit_ms", &Settings::drain_limit_ms, 0,
              kMaxMillis, "milliseconds"},
};

const std::array kChoiceKeys = {
    ChoiceKey{
        "routing",
        "picker",
        &Settings::picker,
        {"least-expected-delay", "least-connections", "round-robin", "random"}},
    ChoiceKey{"placement",
              "profile",
              &Settings::placement_profile,
              {"tail", "throughput", "first-fit"}},
    ChoiceKey{"logging",
              "level",
              &Settings::log_level,
              {"debug", "info", "warning", "error"}},
};

using KnownKeys = std::set<std::pair<std::string, std::string>>;

KnownKeys CollectKnownKeys() {
  KnownKeys known;
  for (const auto& key : kTextKeys) known.emplace(key.section, key.key);
  for (const auto& key : kNumberKeys) known.emplace(key.section, key.key);
  for (const auto& key : kChoiceKeys) known.emplace(key.section, key.key);
  return known;
}

class SettingsValidator {
 public:
  SettingsValidator(const YAML::Node& root, std::string file)
      : root_(root), file_(std::move(file)) {}

  std::variant<Settings, std::vector<SettingsError>> Validate() {
    FindUnknownKeys();
    for (const auto& key : kTextKeys) ReadText(key);
    for (const auto& key : kNumberKeys) ReadNumber(key);
    for (const auto& key : kChoiceKeys) ReadChoice(key);
    ValidateCombinations();
    if (!errors_.empty()) return std::move(errors_);
    return std::move(settings_);
  }

 private:
  static int LineOf(const YAML::Node& node) { return node.Mark().line + 1; }

  void AddError(int line, std::string key, std::string expected) {
    errors_.push_back({file_, line, std::move(key), std::move(expected)});
  }

  void FindUnknownKeys() {
    static const KnownKeys kKnown = CollectKnownKeys();
    std::set<std::string> sections;
    for (const auto& [section, key] : kKnown) sections.insert(section);
    for (const auto& section : root_) {
      const auto name = section.first.as<std::string>("");
      if (!sections.contains(name)) {
        AddError(LineOf(section.first), name, "a known section");
        continue;
      }
      if (!section.second.IsMap()) {
        AddError(LineOf(section.first), name, "a map of keys and values");
        continue;
      }
      for (const auto& item : section.second) {
        const auto key = item.first.as<std::string>("");
        if (kKnown.contains({name, key})) continue;
        AddError(LineOf(item.first), name + "." + key, "a known key");
      }
    }
  }

  YAML::Node Find(const char* section, const char* key) const {
    const YAML::Node found = root_[section];
    if (!found || !found.IsMap()) return YAML::Node(YAML::NodeType::Undefined);
    return found[key];
  }

  void ReadText(const TextKey& key) {
    const std::string path = std::string(key.section) + "." + key.key;
    const bool is_address = key.kind == TextKind::kAddress;
    const std::string expected =
        is_address ? "IP:PORT, such as 127.0.0.1:8080"
                   : "a name of letters, digits, '.', '_' and '-'";
    const YAML::Node node = Find(key.section, key.key);
    if (!node.IsDefined()) {
      if (key.required) AddError(0, path, expected + "; the key is missing");
      return;
    }
    const auto text = node.as<std::string>("");
    const bool valid =
        is_address ? IsOk(net::ParseAddress(text)) : IsValidName(text);
    if (!valid) {
      AddError(LineOf(node), path, expected);
      return;
    }
    settings_.*key.member = text;
  }

  static bool IsValidName(const std::string& text) {
    static constexpr std::string_view kAllowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() &&
           text.find_first_not_of(kAllowed) == std::string::npos;
  }

  void ReadNumber(const NumberKey& key) {
    const YAML::Node node = Find(key.section, key.key);
    if (!node.IsDefined()) return;
    const auto text = node.as<std::string>("");
    std::int64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool is_integer = parsed.ec == std::errc() && parsed.ptr == end;
    if (!is_integer || value < key.min || value > key.max) {
      AddError(LineOf(node), std::string(key.section) + "." + key.key,
               "a whole number of " + std::string(key.unit) + " from " +
                   std::to_string(key.min) + " to " + std::to_string(key.max));
      return;
    }
    settings_.*key.member = value;
  }

  void ReadChoice(const ChoiceKey& key) {
    const YAML::Node node = Find(key.section, key.key);
    if (!node.IsDefined()) return;
    const auto text = node.as<std::string>("");
    std::string list;
    for (const auto& choice : key.choices) {
      if (choice == text) {
        settings_.*key.member = text;
        return;
      }
      list += (list.empty() ? "" : ", ") + choice;
    }
    AddError(LineOf(node), std::string(key.section) + "." + key.key,
             "one of " + list);
  }

  void ValidateCombinations() {
    if (settings_.lease_renew_interval_ms * 3 > settings_.lease_length_ms) {
      const YAML::Node node = Find("lease", "renew_interval_ms");
      AddError(node.IsDefined() ? LineOf(node) : 0, "lease.renew_interval_ms",
               "at most a third of lease.length_ms");
    }
    const std::array addresses = {
        std::pair{"listen.callers", &settings_.callers_address},
        std::pair{"listen.operators", &settings_.operators_address},
        std::pair{"listen.links", &settings_.links_address},
        std::pair{"listen.status", &settings_.status_address}};
    std::set<std::string> addresses_in_use;
    for (const auto& [key, address] : addresses) {
      if (address->empty() || addresses_in_use.insert(*address).second)
        continue;
      AddError(0, key, "an address that no other listener uses");
    }
  }

  YAML::Node root_;
  std::string file_;
  Settings settings_;
  std::vector<SettingsError> errors_;
};

}  // namespace

std::string SettingsError::ToString() const {
  const std::string location = line > 0 ? ":" + std::to_string(line) : "";
  return file + location + ": " + key + ": expected " + expected;
}

std::variant<Settings, std::vector<SettingsError>> ParseSettings(
    std::string_view yaml, const std::string& file_name) {
  try {
    const YAML::Node root = YAML::Load(std::string(yaml));
    if (!root.IsMap()) {
      return std::vector<SettingsError>{
          {file_name, 1, "(file)", "a map of sections"}};
    }
    return SettingsValidator(root, file_name).Validate();
  } catch (const YAML::Exception& exception) {
    return std::vector<SettingsError>{
        {file_name, exception.mark.line + 1, "(file)",
         "valid YAML; parser error: " + exception.msg}};
  }
}

std::variant<Settings, std::vector<SettingsError>> LoadSettings(
    const std::string& file_name) {
  std::ifstream file(file_name);
  if (!file) {
    return std::vector<SettingsError>{
        {file_name, 0, "(file)", "a readable file"}};
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), file_name);
}

}  // namespace basilspur::settings
