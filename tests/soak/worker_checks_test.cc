#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "net/asio.h"
#include "standins/worker_standin.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using standins::TaskHistory;
using standins::WorkerStandin;

static unsigned Call(WorkerStandin& worker, const std::string& id,
                     const std::string& target, const std::string& body) {
  net::asio::io_context context;
  net::HttpRequest request;
  request.target = target;
  request.body = body;
  request.headers["Basilspur-Expect-Instance"] = id;
  unsigned status = 0;
  net::asio::co_spawn(
      context,
      [&]() -> net::asio::awaitable<void> {
        status = (co_await worker.HandleRequest(request)).status;
      },
      net::asio::detached);
  context.run();
  return status;
}

static unsigned Start(WorkerStandin& worker, const std::string& id,
                      const std::string& task, int run,
                      const std::string& spec) {
  const std::int64_t deadline = SystemClock().Monotonic().count + 5'000;
  return Call(worker, id, "/-/run-start",
              R"({"task":")" + task + R"(","run":)" + std::to_string(run) +
                  R"(,"spec":")" + spec + R"(","deadline_ms":)" +
                  std::to_string(deadline) + R"(,"fence":1})");
}

TEST_CASE("the worker stand-in reports starts that break a promise") {
  // The soak would pass over two runs at once, a run after an acknowledged end
  // and a VM over its capacity if these were not noticed.
  std::map<std::string, TaskHistory> histories;
  WorkerStandin first("i-0", histories);
  WorkerStandin second("i-1", histories);
  REQUIRE(Start(first, "i-0", "a", 1, "60000 2000") == 200);
  REQUIRE(Start(first, "i-0", "b", 1, "60000 2000") == 200);
  CHECK(first.violations.empty());
  SECTION("beyond the capacity") {
    REQUIRE(Start(first, "i-0", "c", 1, "60000 500") == 200);
    CHECK(first.violations.size() == 1);
  }
  SECTION("beside another run of the task") {
    REQUIRE(Start(second, "i-1", "a", 2, "60000 2000") == 200);
    CHECK(second.violations.size() == 1);
  }
  SECTION("after an acknowledged end") {
    REQUIRE(Start(second, "i-1", "d", 1, "0 500") == 200);
    const std::string acknowledgement = R"({"fence":1,"last_seen":1})";
    REQUIRE(Call(second, "i-1", "/-/hold", acknowledgement) == 200);
    REQUIRE(Start(second, "i-1", "d", 2, "0 500") == 200);
    CHECK(second.violations.size() == 1);
  }
  SECTION("before the end of an earlier run is acknowledged") {
    REQUIRE(Start(second, "i-1", "d", 1, "0 500") == 200);
    REQUIRE(Start(second, "i-1", "d", 2, "60000 500") == 200);
    const std::string acknowledgement = R"({"fence":1,"last_seen":1})";
    REQUIRE(Call(second, "i-1", "/-/hold", acknowledgement) == 200);
    CHECK(second.violations.size() == 1);
  }
}
