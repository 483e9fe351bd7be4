#include "cell/home_contacts.h"

#include <catch2/catch.hpp>

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static constexpr int kCell = 3;
static constexpr Millis kStart(10'000);

TEST_CASE("a home cell is silent once its delegations no longer arrive") {
  HomeContacts homes;
  CHECK(homes.SilentOf({kCell}, kStart) == std::vector<int>{kCell});
  homes.OnDelegation(kCell, Millis(0), kStart);
  CHECK(homes.SilentOf({kCell}, kStart + Millis(1'499)).empty());
  CHECK(homes.SilentOf({kCell}, kStart + Millis(1'500)).size() == 1);
  CHECK(homes.SilentOf({}, kStart + Millis(1'500)).empty());
}

TEST_CASE("a delegation that was sent without an answer to others is no sign") {
  HomeContacts homes;
  homes.OnDelegation(kCell, Millis(0), kStart);
  homes.OnDelegation(kCell, Millis(800), kStart + Millis(1'400));
  CHECK(homes.SilentOf({kCell}, kStart + Millis(1'500)).size() == 1);
}

TEST_CASE("silent home cells are looked for once in an interval") {
  HomeContacts homes;
  CHECK(homes.ShouldCheck(kStart));
  CHECK(!homes.ShouldCheck(kStart + Millis(499)));
  CHECK(homes.ShouldCheck(kStart + Millis(500)));
}
