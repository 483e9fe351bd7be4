#include "boot_settings.h"

#include <catch2/catch.hpp>
#include <string>

using namespace basilspur;           // NOLINT(google-build-using-namespace)
using namespace basilspur::adapter;  // NOLINT(google-build-using-namespace)

static constexpr char kValidSettings[] = R"(
node = "edge-moss-1"
ip = "10.1.0.13"
zone = "moss"
port_range = [7720,7735]
something_new = { a = 1 }
[listen]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
[bounds]
hold_max_ms = 6000
grace_s = 6.5
[platform]
address = "10.200.1.7:8169"
)";

TEST_CASE("boot settings are read and unknown keys are ignored") {
  const auto settings = ParseBootSettings(kValidSettings, "test");
  REQUIRE(IsOk(settings));
  CHECK(ValueOf(settings).first_peer_port == 7720);
  CHECK(ValueOf(settings).store_address == "10.200.1.7:8169");
  CHECK(ValueOf(settings).max_lease_duration == Millis(6'000));
  CHECK(ValueOf(settings).termination_grace == Millis(6'500));
  CHECK(ValueOf(settings).ended_job_retention == Millis(120'000));
}

TEST_CASE("the store's limits are read from the settings") {
  const std::string limits = "record_bytes = 65536\ncall_bytes = 524288\n";
  const auto settings = ParseBootSettings(kValidSettings + limits, "test");
  REQUIRE(IsOk(settings));
  CHECK(ValueOf(settings).max_record_bytes == 65'536);
  CHECK(ValueOf(settings).max_call_bytes == 524'288);
}

TEST_CASE("data centers may close only if the settings bound it") {
  const std::string settings = kValidSettings;
  CHECK(ValueOf(ParseBootSettings(settings, "test")).closure_bound ==
        Millis(0));
  const std::string bounded = "evac_ms = 5000\ndrain_ms = 3000\n";
  const std::size_t at = settings.find("hold_max_ms");
  const auto with_bound = ParseBootSettings(
      settings.substr(0, at) + bounded + settings.substr(at), "test");
  REQUIRE(IsOk(with_bound));
  CHECK(ValueOf(with_bound).closure_bound == Millis(5'000));
  CHECK(ValueOf(with_bound).drain_bound == Millis(3'000));
}

TEST_CASE(
    "one error lists all missing and mistyped keys with the expected value") {
  const auto settings =
      ParseBootSettings("node = 3\nport_range = [\"a\"]\n", "test");
  REQUIRE(!IsOk(settings));
  const std::string& message = ErrorOf(settings).message;
  for (const char* part :
       {"node: wrong type, expected a string",
        "ip: missing, expected an IP address",
        "listen.front: missing, expected IP:PORT", "port_range[0]: wrong type",
        "platform.address: missing"}) {
    CAPTURE(part);
    CHECK(message.find(part) != std::string::npos);
  }
}

TEST_CASE("malformed TOML and a missing file are errors") {
  CHECK(!IsOk(ParseBootSettings("= 3", "test")));
  CHECK(!IsOk(LoadBootSettings("/nowhere/settings.toml")));
}

TEST_CASE("a grace too short to stop in, or no time, is accepted") {
  const std::string valid = kValidSettings;
  const std::size_t at = valid.find("grace_s = 6.5");
  for (const char* grace : {"0", "-1", "0.4", "nan", "inf", "\"6\""}) {
    CAPTURE(grace);
    std::string text = valid;
    text.replace(at, 13, std::string("grace_s = ") + grace);
    const auto settings = ParseBootSettings(text, "test");
    REQUIRE(!IsOk(settings));
    CHECK(ErrorOf(settings).message.find("bounds.grace_s") !=
          std::string::npos);
  }
}
