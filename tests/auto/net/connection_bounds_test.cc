// What the connections of a server hold together, and which ones end for it.
#include <catch2/catch.hpp>
#include <optional>

#include "net/bounded_connection.h"
#include "net/connection_limiter.h"
#include "net/memory_budget.h"

using namespace basilspur;       // NOLINT(google-build-using-namespace)
using namespace basilspur::net;  // NOLINT(google-build-using-namespace)

class FakeConnection final : public BoundedConnection {
 public:
  explicit FakeConnection(ConnectionPhase phase) { Enter(phase); }
  void Evict(Refusal reason) override {
    MarkEvicted();
    evicted_for = reason;
  }

  std::optional<Refusal> evicted_for;
};

TEST_CASE(
    "beyond the budget the largest connection ends, and small ones stay") {
  MemoryBudget budget(1'000);
  FakeConnection large(ConnectionPhase::kReading);
  FakeConnection small(ConnectionPhase::kReading);
  CHECK(budget.Resize(large, 900));
  CHECK(budget.Resize(small, 200));
  CHECK(large.evicted_for == Refusal::kMemory);
  CHECK(!small.evicted_for);
  CHECK(budget.HeldBytes() == 200);
}

TEST_CASE("a request that is being handled keeps its memory") {
  MemoryBudget budget(1'000);
  FakeConnection handled(ConnectionPhase::kHandling);
  FakeConnection reading(ConnectionPhase::kReading);
  CHECK(budget.Resize(handled, 900));
  CHECK(budget.Resize(reading, 200));
  CHECK(!handled.evicted_for);
  CHECK(reading.evicted_for == Refusal::kMemory);
  FakeConnection late(ConnectionPhase::kHandling);
  CHECK_FALSE(budget.Resize(late, 200));
  budget.Release(handled);
  CHECK(budget.Resize(late, 300));
}

TEST_CASE("a new connection takes the place of one that sends nothing whole") {
  ConnectionLimiter limiter(4);
  FakeConnection handled(ConnectionPhase::kHandling);
  FakeConnection idle(ConnectionPhase::kWaiting);
  FakeConnection first_part(ConnectionPhase::kReading);
  FakeConnection second_part(ConnectionPhase::kReading);
  for (FakeConnection* connection :
       {&handled, &idle, &second_part, &first_part}) {
    REQUIRE(limiter.MakeRoom());
    limiter.Add(*connection);
  }
  CHECK(limiter.MakeRoom());
  CHECK(first_part.evicted_for == Refusal::kConnections);
  FakeConnection next(ConnectionPhase::kHandling);
  limiter.Add(next);
  CHECK(limiter.MakeRoom());
  CHECK(second_part.evicted_for == Refusal::kConnections);
  FakeConnection another(ConnectionPhase::kHandling);
  limiter.Add(another);
  CHECK(limiter.MakeRoom());
  CHECK(idle.evicted_for == Refusal::kConnections);
  FakeConnection last(ConnectionPhase::kHandling);
  limiter.Add(last);
  CHECK_FALSE(limiter.MakeRoom());
  CHECK(!handled.evicted_for);
  limiter.Remove(last);
  CHECK(limiter.MakeRoom());
}
