#include "cell/owner_outlook.h"

#include <catch2/catch.hpp>

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static constexpr Millis kStart(100'000);
/// The longest change of owner.
static constexpr Millis kChange(2'500);

TEST_CASE("requests wait during a change of owner and are refused after it") {
  OwnerOutlook outlook;
  CHECK(!outlook.IsChanging(kStart));
  outlook.OnOwnerMissing(kStart);
  outlook.OnOwnerMissing(kStart + Millis(2'000));
  CHECK(outlook.IsChanging(kStart + kChange));
  CHECK(outlook.ExpectedIn(kStart + Millis(1'000)) > Millis(0));
  CHECK(!outlook.IsChanging(kStart + Millis(3'000)));
  CHECK(outlook.ExpectedIn(kStart + Millis(3'000)) == Millis(0));
  outlook.OnOwnerServed();
  CHECK(!outlook.IsChanging(kStart + Millis(100)));
}

TEST_CASE("requests don't wait for an owner that renews but is unreachable") {
  OwnerOutlook outlook;
  outlook.OnOwnerMissing(kStart);
  // This record may have been written before the owner was missed.
  outlook.OnOwnerRenewed();
  outlook.OnOwnerMissing(kStart + Millis(100));
  CHECK(outlook.IsChanging(kStart + Millis(100)));
  outlook.OnOwnerRenewed();
  outlook.OnOwnerMissing(kStart + Millis(200));
  CHECK(!outlook.IsChanging(kStart + Millis(300)));
  // A new owner that renews while it reads the journal is about to serve.
  outlook.OnOwnerChanged(kStart + Millis(1'000));
  outlook.OnOwnerRenewed();
  outlook.OnOwnerRenewed();
  outlook.OnOwnerTakingOver();
  CHECK(outlook.IsChanging(kStart + Millis(2'000)));
}

/// Guards against requests that are refused at the start of a change of owner
/// because an earlier change, after which nobody asked, counts as its start.
TEST_CASE("a change of owner that nobody missed says nothing of the next one") {
  OwnerOutlook outlook;
  outlook.OnOwnerChanged(kStart);
  outlook.OnOwnerRenewed();
  outlook.OnOwnerRenewed();
  const Millis missed = kStart + Millis(10'000);
  outlook.OnOwnerMissing(missed);
  CHECK(outlook.IsChanging(missed));
  CHECK(outlook.IsChanging(missed + kChange));
  CHECK(outlook.ExpectedIn(missed) > Millis(2'000));
  CHECK(!outlook.IsChanging(missed + Millis(3'000)));
}
