#include <catch2/catch.hpp>
#include <iostream>
#include <string>

#include "base/random.h"
#include "settings/settings_loader.h"

using basilspur::Random;
using basilspur::settings::ParseSettings;
using basilspur::settings::Settings;
using basilspur::settings::SettingsError;

static const char kValidSettings[] = R"(entry:
  name: entry-1
  data_center: moss
  vm: vm-1
listen:
  callers: 127.0.0.1:1001
  operators: 127.0.0.1:1002
  links: 127.0.0.1:1003
  status: 127.0.0.1:1004
platform:
  log: 127.0.0.1:1005
  vms: 127.0.0.1:1005
lease:
  length_ms: 6000
)";

TEST_CASE("valid settings are accepted") {
  const auto result = ParseSettings(kValidSettings, "f");
  REQUIRE(std::holds_alternative<Settings>(result));
  CHECK(std::get<Settings>(result).lease_length_ms == 6'000);
  CHECK(std::get<Settings>(result).lease_renew_interval_ms == 1'000);
}

TEST_CASE("all errors are reported at once, with line and key") {
  const std::string invalid = R"(entry:
  name: "entry 1"
  data_center: moss
listen:
  callers: localhost:1001
  operators: 127.0.0.1:1002
  links: 127.0.0.1:1002
  status: 127.0.0.1:1004
platform:
  log: 127.0.0.1:1005
  vms: 127.0.0.1:1005
lease:
  length_ms: 5s
  renew_interval_ms: 9000
routing:
  picker: best
  colour: red
extra: 1
)";
  const auto result = ParseSettings(invalid, "f.yaml");
  REQUIRE(std::holds_alternative<std::vector<SettingsError>>(result));
  std::string messages;
  for (const auto& error : std::get<std::vector<SettingsError>>(result)) {
    messages += error.ToString() + "\n";
  }
  for (const char* part :
       {"f.yaml:2: entry.name", "entry.vm", "f.yaml:5: listen.callers",
        "listen.links: expected an address that no other listener uses",
        "f.yaml:13: lease.length_ms", "milliseconds",
        "f.yaml:14: lease.renew_interval_ms", "f.yaml:16: routing.picker",
        "f.yaml:17: routing.colour", "f.yaml:18: extra"}) {
    INFO(messages << "lacks " << part);
    CHECK(messages.find(part) != std::string::npos);
  }
}

TEST_CASE("malformed files cause errors, not crashes") {
  constexpr std::uint64_t kSeed = 77;
  std::cout << "malformed settings: seed " << kSeed << "\n";
  Random random(kSeed);
  for (int i = 0; i < 2'000; ++i) {
    std::string text = kValidSettings;
    for (int j = 0; j < 4; ++j) {
      text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    }
    ParseSettings(text, "f");
  }
  SUCCEED();
}
