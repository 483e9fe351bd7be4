#include "routing/service_router.h"

#include <catch2/catch.hpp>
#include <numeric>

#include "routing/slot_partition.h"

using namespace basilspur;           // NOLINT(google-build-using-namespace)
using namespace basilspur::routing;  // NOLINT(google-build-using-namespace)

static constexpr Millis kNow(10'000);

static ServiceRouter MakeRouter(std::int64_t slots, std::int64_t queue) {
  ServiceRouter router(MakeTargetPicker("least-expected-delay"));
  const std::vector<TargetShare> shares = {{"t1", "dc", slots, false},
                                           {"t2", "dc", slots, false}};
  router.SetTargets(shares, queue);
  return router;
}

static Request MakeRequest(Ticket ticket, int urgency = kDefaultUrgency,
                           Millis deadline = kNow + Millis(1'000)) {
  Request request;
  request.ticket = ticket;
  request.urgency = urgency;
  request.arrived = kNow;
  request.deadline = deadline;
  return request;
}

TEST_CASE("every slot is assigned to one entry") {
  const std::vector<std::int64_t> slots(50, 8);
  std::vector<std::int64_t> owned(50, 0);
  for (std::size_t entry = 0; entry < 9; ++entry) {
    const auto shares = PartitionSlots(slots, entry, 9, 12345);
    std::int64_t sum = 0;
    int partially_owned = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
      owned[i] += shares[i];
      sum += shares[i];
      if (shares[i] > 0 && shares[i] < 8) ++partially_owned;
    }
    CHECK(sum >= 44);
    CHECK(sum <= 45);
    CHECK(partially_owned <= 2);
  }
  CHECK(owned == slots);
}

TEST_CASE("a slot is granted to one request at a time") {
  Random random(1);
  ServiceRouter router = MakeRouter(2, 10);
  for (Ticket ticket = 1; ticket <= 4; ++ticket) {
    CHECK(std::holds_alternative<Grant>(
        router.Admit(MakeRequest(ticket), kNow, random)));
  }
  CHECK(std::holds_alternative<Queued>(
      router.Admit(MakeRequest(5), kNow, random)));
  CHECK(router.InFlight() == 4);
  router.Release("t1", AttemptOutcome::kAnswered, Millis(10), kNow);
  const auto decisions = router.TakeDecisions(kNow, random);
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<Grant>(decisions[0]).ticket == 5);
}

TEST_CASE(
    "a full queue displaces the least urgent request, with a retry delay") {
  Random random(1);
  ServiceRouter router = MakeRouter(1, 1);
  router.Admit(MakeRequest(1), kNow, random);
  router.Admit(MakeRequest(2), kNow, random);
  router.Admit(MakeRequest(3, 6), kNow, random);
  const auto urgent = router.Admit(MakeRequest(4, 0), kNow, random);
  CHECK(std::holds_alternative<Queued>(urgent));
  const auto decisions = router.TakeDecisions(kNow, random);
  REQUIRE(decisions.size() == 1);
  const auto& refusal = std::get<Refusal>(decisions[0]);
  CHECK(refusal.ticket == 3);
  CHECK(refusal.reason == RefusalReason::kDisplaced);
  CHECK(refusal.retry_after > Millis(0));
}

TEST_CASE("a request that would miss its deadline is refused at once") {
  Random random(1);
  ServiceRouter router = MakeRouter(1, 100);
  router.Admit(MakeRequest(1), kNow, random);
  router.Release("t1", AttemptOutcome::kAnswered, Millis(500), kNow);
  router.Admit(MakeRequest(2), kNow, random);
  router.Admit(MakeRequest(3), kNow, random);
  const auto admission =
      router.Admit(MakeRequest(4, 3, kNow + Millis(100)), kNow, random);
  REQUIRE(std::holds_alternative<Refusal>(admission));
  CHECK(std::get<Refusal>(admission).reason ==
        RefusalReason::kWouldMissDeadline);
}

TEST_CASE("an unreachable target is ejected, then probed with one request") {
  Random random(1);
  ServiceRouter router = MakeRouter(4, 10);
  for (Ticket ticket = 1; ticket <= 8; ++ticket) {
    router.Admit(MakeRequest(ticket), kNow, random);
  }
  for (int i = 0; i < 4; ++i) {
    router.Release("t1", AttemptOutcome::kNotConnected, Millis(1), kNow);
  }
  CHECK(router.FreeSlots(kNow) == 0);
  const Millis after_ejection = kNow + Millis(600);
  CHECK(std::holds_alternative<Grant>(
      router.Admit(MakeRequest(9, 3, after_ejection + Millis(1'000)),
                   after_ejection, random)));
  CHECK(std::holds_alternative<Queued>(
      router.Admit(MakeRequest(10, 3, after_ejection + Millis(1'000)),
                   after_ejection, random)));
}

TEST_CASE("a single time-out does not eject the target") {
  Random random(1);
  ServiceRouter router = MakeRouter(1, 10);
  router.Admit(MakeRequest(1), kNow, random);
  router.Admit(MakeRequest(2), kNow, random);
  router.Release("t1", AttemptOutcome::kSilent, Millis(100), kNow);
  CHECK(!router.Targets().at("t1").health.IsEjected(kNow));
}

TEST_CASE("retries are limited to a fraction of successes") {
  ServiceRouter router = MakeRouter(1, 10);
  int retries = 0;
  while (router.TryTakeRetry()) ++retries;
  CHECK(retries == 10);
  for (int i = 0; i < 25; ++i) {
    router.Release("t1", AttemptOutcome::kAnswered, Millis(1), kNow);
  }
  CHECK(router.TryTakeRetry());
  CHECK(router.TryTakeRetry());
  CHECK(!router.TryTakeRetry());
}

TEST_CASE("a leaving target gets no new request") {
  Random random(1);
  ServiceRouter router(MakeTargetPicker("random"));
  const std::vector<TargetShare> shares = {{"t1", "dc", 100, true},
                                           {"t2", "dc", 100, false}};
  router.SetTargets(shares, 10);
  for (Ticket ticket = 1; ticket <= 50; ++ticket) {
    const auto admission = router.Admit(MakeRequest(ticket), kNow, random);
    CHECK(std::get<Grant>(admission).target == "t2");
  }
}

TEST_CASE("the lender does not use lent slots until the loan ends") {
  Random random(1);
  ServiceRouter lender = MakeRouter(4, 10);
  ServiceRouter borrower = MakeRouter(0, 10);
  const auto loans = lender.Lend(3, kNow);
  borrower.Borrow(loans);
  CHECK(lender.FreeSlots(kNow) + borrower.FreeSlots(kNow) == 8);
  CHECK(borrower.FreeSlots(kNow) == 3);
  borrower.EndLoans(loans, /*lent=*/false);
  lender.EndLoans(loans, /*lent=*/true);
  CHECK(lender.FreeSlots(kNow) == 8);
  CHECK(borrower.FreeSlots(kNow) == 0);
}
