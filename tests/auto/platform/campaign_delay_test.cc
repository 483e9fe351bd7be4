#include "campaign_delay.h"

#include <catch2/catch.hpp>

#include "cell/election.h"

using namespace basilspur;           // NOLINT(google-build-using-namespace)
using namespace basilspur::adapter;  // NOLINT(google-build-using-namespace)

TEST_CASE("the slowest entries claim a cell after all fast ones") {
  // A cell that a machine with 0.069 of a core takes over is cut off.
  const cell::ElectionSettings settings;
  CHECK(CampaignDelayFor(1.0) == Millis(0));
  CHECK(CampaignDelayFor(0.2) == Millis(0));
  CHECK(CampaignDelayFor(0.069) > settings.campaign_jitter);
}

TEST_CASE("an entry with a smaller share of a core waits longer, to a limit") {
  CHECK(CampaignDelayFor(0.19) >= Millis(150));
  CHECK(CampaignDelayFor(0.1) > CampaignDelayFor(0.15));
  CHECK(CampaignDelayFor(0.001) == CampaignDelayFor(0.0001));
  CHECK(CampaignDelayFor(0.001) <= Millis(450));
}
