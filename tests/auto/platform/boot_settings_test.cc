#include "boot_settings.h"

#include <catch2/catch.hpp>

using namespace basilspur;           // NOLINT(google-build-using-namespace)
using namespace basilspur::adapter;  // NOLINT(google-build-using-namespace)

static constexpr char kGood[] = R"(
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

TEST_CASE("settings are read, and keys that are not known are passed over") {
  const auto settings = ParseBootSettings(kGood, "test");
  REQUIRE(IsOk(settings));
  CHECK(ValueOf(settings).first_port == 7720);
  CHECK(ValueOf(settings).store_address == "10.200.1.7:8169");
  CHECK(ValueOf(settings).longest_lease == Millis(6'000));
  CHECK(ValueOf(settings).stop_grace == Millis(6'500));
  CHECK(ValueOf(settings).ended_job_retention == Millis(120'000));
}

TEST_CASE("all faults are named at once, with what was expected") {
  const auto settings =
      ParseBootSettings("node = 3\nport_range = [\"a\"]\n", "test");
  REQUIRE(!IsOk(settings));
  const std::string& message = ErrorOf(settings).message;
  for (const char* part :
       {"node: has another type, expected a name", "ip: is missing",
        "listen.front: is missing, expected IP:PORT",
        "port_range[0]: has another type", "platform.address: is missing"}) {
    CAPTURE(part);
    CHECK(message.find(part) != std::string::npos);
  }
}

TEST_CASE("text that is no TOML is an error") {
  CHECK(!IsOk(ParseBootSettings("= 3", "test")));
  CHECK(!IsOk(LoadBootSettings("/nowhere/settings.toml")));
}
