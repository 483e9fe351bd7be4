// Tests of requests to a cell of real processes under faults of entries and
// executors. They guard against requests that run twice, end with a wrong
// outcome, or fail although another target or entry could serve them. What ran
// is read from the ledgers of the executors.
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "system/cell.h"

using basilspur::net::HttpResponse;
using basilspur::system_test::Cell;
using basilspur::system_test::Eventually;

using Headers = std::map<std::string, std::string>;

static Headers KeyedHeaders(const std::string& id, int attempt, int age_ms) {
  return {{"Host", "reports"},
          {"Idempotency-Key", id},
          {"Basilspur-Attempt", std::to_string(attempt)},
          {"Basilspur-Age-Ms", std::to_string(age_ms)}};
}

/// Waits until all entries accept requests with an idempotency key. For a few
/// seconds after its start, an entry rejects them because it may have no record
/// of other sends of the request.
static void WaitUntilKeyedRequestsAccepted(Cell& cell) {
  for (const auto& entry : cell.entries) {
    REQUIRE(Eventually([&] {
      static std::atomic<int> probes{0};
      const std::string id = "probe-" + std::to_string(++probes);
      return cell.Call(entry.callers_address, "POST", "/x",
                       KeyedHeaders(id, 1, 0))
                 .status == 200;
    }));
  }
}

TEST_CASE("a request that is resent runs once") {
  Cell cell(3, 0, 2);
  cell.PutService("reports");
  WaitUntilKeyedRequestsAccepted(cell);
  const auto first_send = cell.Call(cell.entries[0].callers_address, "POST",
                                    "/x", KeyedHeaders("r1", 1, 0));
  CHECK(first_send.status == 200);
  const auto resend = cell.Call(cell.entries[1].callers_address, "POST", "/x",
                                KeyedHeaders("r1", 2, 100));
  CHECK(resend.status == 409);
  CHECK(resend.headers.at("Basilspur-Outcome") == "ran");
  CHECK(cell.CountExecutions("r1") == 1);
}

TEST_CASE("a first send that arrives after a resend does not run") {
  Cell cell(3, 0, 2);
  cell.PutService("reports");
  WaitUntilKeyedRequestsAccepted(cell);
  const auto resend = cell.Call(cell.entries[1].callers_address, "POST", "/x",
                                KeyedHeaders("r2", 2, 50));
  CHECK(resend.status == 200);
  const auto first_send = cell.Call(cell.entries[0].callers_address, "POST",
                                    "/x", KeyedHeaders("r2", 1, 0));
  CHECK(first_send.status == 409);
  CHECK(cell.CountExecutions("r2") == 1);
}

TEST_CASE("a resend after a crash reports that the request may have run") {
  Cell cell(3, 0, 2);
  cell.PutService("reports");
  WaitUntilKeyedRequestsAccepted(cell);
  CHECK(cell.Call(cell.entries[0].callers_address, "POST", "/x",
                  KeyedHeaders("r3", 1, 0))
            .status == 200);
  cell.entries[0].process->Signal(SIGKILL);
  const auto resend = cell.Call(cell.entries[1].callers_address, "POST", "/x",
                                KeyedHeaders("r3", 2, 500));
  CHECK(resend.status == 504);
  CHECK(resend.headers.at("Basilspur-Outcome") == "may-have-run");
  CHECK(resend.headers.count("Basilspur-Retry-After-Ms") == 1);
  cell.StartEntry(0);
  cell.WaitUntilReady(0);
  const auto second_resend = cell.Call(cell.entries[2].callers_address, "POST",
                                       "/x", KeyedHeaders("r3", 3, 2'000));
  CHECK(second_resend.status == 504);
  CHECK(cell.CountExecutions("r3") == 1);
}

TEST_CASE("outcomes are correct while an executor does not respond") {
  Cell cell(2, 0, 2);
  cell.PutService("reports");
  cell.Call(cell.executor_addresses[0], "GET", "/control?silent=1");
  int not_run_count = 0;
  for (int i = 0; i < 6; ++i) {
    const std::string id = "once-" + std::to_string(i);
    Headers headers = {{"Host", "reports"},
                       {"X-Request-Id", id},
                       {"Basilspur-Timeout-Ms", "500"}};
    const auto response =
        cell.Call(cell.entries[0].callers_address, "POST", "/x", headers);
    if (response.status == 200) {
      CHECK(cell.CountExecutions(id) == 1);
      continue;
    }
    REQUIRE(response.headers.count("Basilspur-Outcome") == 1);
    if (response.headers.at("Basilspur-Outcome") != "not-run") continue;
    ++not_run_count;
    CHECK(cell.CountExecutions(id) == 0);
  }
  cell.Call(cell.executor_addresses[0], "GET", "/control?silent=0");
}

TEST_CASE("a connection stops responding while new ones work") {
  Cell cell(1, 0, 2);
  cell.PutService("reports");
  const auto send_request = [&] {
    return cell.Call(cell.entries[0].callers_address, "GET", "/x",
                     {{"Host", "reports"}});
  };
  // The entry abandons an attempt before the deadline only if it has measured
  // the usual response time of the targets.
  for (int i = 0; i < 200; ++i) REQUIRE(send_request().status == 200);
  for (const auto& executor : cell.executor_addresses) {
    cell.Call(executor, "GET", "/control?silent_next=1");
  }
  // A request that waited on such a connection until its deadline of 30 s would
  // fail with 504, and Call() already times out after 20 s.
  for (int i = 0; i < 20; ++i) CHECK(send_request().status == 200);
  const std::string metrics =
      cell.Call(cell.entries[0].status_address, "GET", "/metrics").body;
  CHECK(metrics.find("outcome=\"silent\"") != std::string::npos);
}

TEST_CASE("a target on a leaving VM gets no new requests") {
  Cell cell(2, 2, 2);
  REQUIRE(cell.RunOperatorCommand(
                  {"service", "put", "reports", "--target",
                   cell.executor_addresses[0] + "/8/vm-0", "--target",
                   cell.executor_addresses[1] + "/8/vm-1", "--wait"})
              .exit_code == 0);
  const auto count_ledger_lines = [&](std::size_t executor) {
    const std::string ledger =
        cell.Call(cell.executor_addresses[executor], "GET", "/ledger").body;
    return std::count(ledger.begin(), ledger.end(), '\n');
  };
  const auto send_requests = [&] {
    for (int i = 0; i < 20; ++i) {
      const auto& entry = cell.entries[static_cast<std::size_t>(i) % 2];
      CHECK(cell.Call(entry.callers_address, "GET", "/x", {{"Host", "reports"}})
                .status == 200);
    }
  };
  REQUIRE(Eventually([&] {
    send_requests();
    return count_ledger_lines(0) > 0 && count_ledger_lines(1) > 0;
  }));
  cell.ControlPlatform(
      "/control/vm?name=vm-0&worker=" + cell.worker_addresses[0] +
      "&rack=r&dc=moss&cpu=4000&memory=8000&leaving=1");
  REQUIRE(Eventually([&] {
    return cell.RunOperatorCommand({"vm", "list"}).output.find("leaving") !=
           std::string::npos;
  }));
  REQUIRE(cell.RunOperatorCommand({"config", "put", "after", "1", "--wait"})
              .exit_code == 0);
  const auto ledger_lines_before = count_ledger_lines(0);
  send_requests();
  CHECK(count_ledger_lines(0) == ledger_lines_before);
}

TEST_CASE("a request that a target refuses is sent to another one") {
  Cell cell(2, 0, 2);
  cell.PutService("reports");
  cell.Call(cell.executor_addresses[0], "GET", "/control?refuse=1");
  for (int i = 0; i < 8; ++i) {
    const auto response =
        cell.Call(cell.entries[static_cast<std::size_t>(i) % 2].callers_address,
                  "POST", "/x", {{"Host", "reports"}});
    CHECK(response.status == 200);
  }
}

TEST_CASE("a change made with --wait is in force on every entry") {
  constexpr int kServices = 15;
  Cell cell(3, 0, 1);
  for (int i = 0; i < kServices; ++i) {
    const std::string name = "service-" + std::to_string(i);
    cell.PutService(name);
    for (const auto& entry : cell.entries) {
      INFO(entry.name << " handles a request for " << name);
      CHECK(cell.Call(entry.callers_address, "GET", "/x", {{"Host", name}})
                .status == 200);
    }
  }
}

TEST_CASE("a rolling restart of all entries under load fails no request") {
  Cell cell(3, 0, 2);
  cell.PutService("reports");
  std::atomic<bool> done{false};
  std::atomic<int> succeeded_count{0};
  std::atomic<int> failed_count{0};
  std::mutex failures_mutex;
  std::set<std::string> failures;
  // As behind a load balancer, callers send to ready entries only, and each
  // request over a new connection.
  std::vector<std::atomic<bool>> in_rotation(3);
  for (auto& entry : in_rotation) entry = true;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 6; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = caller; !done; ++i) {
        const auto index = static_cast<std::size_t>(i) % 3;
        if (!in_rotation[index]) continue;
        const HttpResponse response =
            cell.Call(cell.entries[index].callers_address, "POST",
                      "/x?work_ms=20", {{"Host", "reports"}});
        if (response.status == 200) {
          ++succeeded_count;
        } else {
          ++failed_count;
          const std::lock_guard lock(failures_mutex);
          failures.insert(cell.entries[index].name + " responded with " +
                          std::to_string(response.status) + " " +
                          response.body);
        }
      }
    });
  }
  for (std::size_t i = 0; i < cell.entries.size(); ++i) {
    Eventually([&, succeeded_before = succeeded_count.load()] {
      return succeeded_count > succeeded_before + 50;
    });
    in_rotation[i] = false;
    cell.entries[i].process->Signal(SIGTERM);
    CHECK(cell.entries[i].process->Wait() == 0);
    cell.StartEntry(i);
    cell.WaitUntilReady(i);
    in_rotation[i] = true;
  }
  done = true;
  for (auto& caller : callers) caller.join();
  for (const auto& failure : failures) UNSCOPED_INFO(failure);
  CHECK(failed_count == 0);
  CHECK(succeeded_count > 150);
}
