#include "cell/host_contacts.h"

#include <catch2/catch.hpp>

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static constexpr int kCell = 3;
static constexpr Millis kStart(10'000);

TEST_CASE("a host is silent from the first delegation that it did not serve") {
  HostContacts hosts;
  CHECK(hosts.SilenceOf(kCell, kStart) == Millis(0));
  hosts.OnSent(kCell, kStart);
  hosts.OnSent(kCell, kStart + Millis(500));
  CHECK(hosts.SilenceOf(kCell, kStart + Millis(900)) == Millis(900));
  CHECK(hosts.SilentFor(Millis(900), kStart + Millis(900)).contains(kCell));
  CHECK(hosts.SilentFor(Millis(901), kStart + Millis(900)).empty());
  hosts.OnServed(kCell);
  CHECK(hosts.SilenceOf(kCell, kStart + Millis(900)) == Millis(0));
}

TEST_CASE("a silent host is logged once in an interval") {
  HostContacts hosts;
  CHECK(!hosts.ShouldLog(kCell, Millis(1'000), kStart));
  hosts.OnSent(kCell, kStart);
  CHECK(hosts.ShouldLog(kCell, Millis(1'000), kStart));
  CHECK(!hosts.ShouldLog(kCell, Millis(1'000), kStart + Millis(999)));
  CHECK(hosts.ShouldLog(kCell, Millis(1'000), kStart + Millis(1'000)));
}
