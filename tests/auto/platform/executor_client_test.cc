#include "executor_client.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "net/timer.h"
#include "wire.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
namespace asio = basilspur::net::asio;
using Tcp = asio::ip::tcp;

static constexpr char kStarted[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"clock_ms\":1}";
static constexpr char kReport[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 41\r\n\r\n"
    "{\"clock_ms\":1,\"running\":[],\"finished\":[]}";
static constexpr char kUnhealthy[] =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

static asio::awaitable<void> ReadRequest(Tcp::socket& socket) {
  std::string text;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(text),
                                  "\r\n\r\n", asio::use_awaitable);
}

static asio::awaitable<void> Respond(Tcp::socket& socket, const char* answer) {
  co_await ReadRequest(socket);
  co_await asio::async_write(socket, asio::buffer(std::string(answer)),
                             asio::use_awaitable);
}

/// Confirms a start, breaks the connection instead of answering the next one,
/// and refuses the one after that.
static asio::awaitable<void> ConfirmBreakRefuse(Tcp::acceptor& acceptor) {
  Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
  co_await Respond(socket, kReport);
  co_await Respond(socket, kStarted);
  co_await ReadRequest(socket);
  socket.close();
  Tcp::socket next = co_await acceptor.async_accept(asio::use_awaitable);
  co_await Respond(next, kReport);
  co_await Respond(next, kUnhealthy);
}

TEST_CASE(
    "a refused repetition of a start does not show that nothing was started") {
  asio::io_context context;
  Tcp::acceptor acceptor(context,
                         Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  asio::co_spawn(context, ConfirmBreakRefuse(acceptor), asio::detached);
  jobs::VmListing vm;
  vm.id = "vm";
  vm.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  std::optional<cell::CommandAnswer> first;
  std::optional<cell::CommandAnswer> second;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        adapter::ExecutorClient client(context);
        const jobs::RunCommand start;
        first = co_await client.Send(vm, start, {1, 5'000, {}});
        second = co_await client.Send(vm, start, {1, 5'000, {}});
      },
      asio::detached);
  context.run();
  REQUIRE(first);
  CHECK(first->outcome == jobs::RunCommandOutcome::kDone);
  REQUIRE(second);
  CHECK(second->outcome == jobs::RunCommandOutcome::kUnknown);
}

/// Accepts a connection and closes it after the request.
static asio::awaitable<void> BreakConnection(Tcp::acceptor& acceptor) {
  Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
  co_await ReadRequest(socket);
}

/// Accepts a connection and keeps it open without an answer.
static asio::awaitable<void> KeepSilent(Tcp::acceptor& acceptor) {
  Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
  co_await ReadRequest(socket);
  asio::steady_timer timer(acceptor.get_executor(), std::chrono::seconds(2));
  co_await timer.async_wait(asio::use_awaitable);
}

/// Returns the failure of a renewal at an executor that behaves like `peer`;
/// null: no process listens there.
static cell::RenewalFailure FailureOfRenewal(
    asio::awaitable<void> (*peer)(Tcp::acceptor&)) {
  asio::io_context context;
  Tcp::acceptor acceptor(context,
                         Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  jobs::VmListing vm;
  vm.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  if (peer) {
    asio::co_spawn(context, peer(acceptor), asio::detached);
  } else {
    acceptor.close();
  }
  std::optional<cell::RenewalAnswer> answer;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        adapter::ExecutorClient client(context);
        answer = co_await client.Renew(vm, {});
      },
      asio::detached);
  context.run();
  return std::get<cell::RenewalFailure>(answer.value());
}

TEST_CASE("a worker that has ended is told from one that is silent") {
  CHECK(FailureOfRenewal(nullptr) == cell::RenewalFailure::kDisconnected);
  CHECK(FailureOfRenewal(BreakConnection) ==
        cell::RenewalFailure::kDisconnected);
  CHECK(FailureOfRenewal(KeepSilent) == cell::RenewalFailure::kNoAnswer);
}

/// Reads a renewal and returns its body, which ends with "}".
static asio::awaitable<std::string> ReadRenewal(Tcp::socket& socket) {
  std::string text;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(text), "}",
                                  asio::use_awaitable);
  co_return text.substr(text.find('{'));
}

static asio::awaitable<void> SendReport(Tcp::socket& socket) {
  co_await asio::async_write(socket, asio::buffer(std::string(kReport)),
                             asio::use_awaitable);
}

/// How a worker ends between two renewals.
enum class WorkerEnd { kBeforeRequest, kAfterRequest };

/// A worker that answers two renewals and ends, and another one that starts at
/// its address.
struct RestartingWorker {
  explicit RestartingWorker(asio::io_context& context)
      : acceptor(context,
                 Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}

  asio::awaitable<void> Run(WorkerEnd end) {
    {
      Tcp::socket former = co_await acceptor.async_accept(asio::use_awaitable);
      for (int renewals = 0; renewals < 2; ++renewals) {
        to_former.push_back(co_await ReadRenewal(former));
        co_await SendReport(former);
      }
      if (end == WorkerEnd::kAfterRequest)
        to_former.push_back(co_await ReadRenewal(former));
    }
    Tcp::socket present = co_await acceptor.async_accept(asio::use_awaitable);
    for (int renewals = 0; renewals < 2; ++renewals) {
      to_present.push_back(co_await ReadRenewal(present));
      co_await SendReport(present);
    }
  }

  Tcp::acceptor acceptor;
  std::vector<std::string> to_former;
  std::vector<std::string> to_present;
};

// Guards against ends that a worker discards before anyone has seen them: it
// has started again and numbers them anew.
TEST_CASE(
    "the first renewal that reaches a worker that has started again neither "
    "acknowledges ends nor extends the lease") {
  const WorkerEnd end =
      GENERATE(WorkerEnd::kBeforeRequest, WorkerEnd::kAfterRequest);
  asio::io_context context;
  RestartingWorker worker(context);
  asio::co_spawn(context, worker.Run(end), asio::detached);
  jobs::VmListing vm;
  vm.address =
      "127.0.0.1:" + std::to_string(worker.acceptor.local_endpoint().port());
  cell::Renewal renewal;
  renewal.fencing_token = 3;
  renewal.acknowledged_end = 7;
  renewal.deadline_ms = 5'000;
  renewal.max_wait = Millis(1'000);
  int reports = 0;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        adapter::ExecutorClient client(context);
        for (int call = 0; call < 4; ++call) {
          const cell::RenewalAnswer answer = co_await client.Renew(vm, renewal);
          reports += std::holds_alternative<jobs::VmReport>(answer) ? 1 : 0;
          co_await net::Sleep(Millis(20));
        }
      },
      asio::detached);
  context.run();
  const std::string full = adapter::EncodeRenewal(renewal);
  // A connection that the worker has closed is no outage.
  CHECK(reports == 4);
  const std::string bare = R"({"fence":3,"last_seen":0,"wait_ms":0})";
  // Any worker may answer on the first connection, too.
  REQUIRE(worker.to_former.size() >= 2);
  CHECK(worker.to_former[0] == bare);
  CHECK(worker.to_former[1] == full);
  CHECK(worker.to_former.back() == full);
  REQUIRE(worker.to_present.size() == 2);
  CHECK(worker.to_present[0] == bare);
  CHECK(worker.to_present[1] == full);
}

/// Returns a report of a worker that started at `start_ms`.
static std::string ReportOf(int start_ms) {
  const std::string body =
      "{\"clock_ms\":1,\"born\":" + std::to_string(start_ms) +
      ",\"running\":[],\"finished\":[]}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// Confirms a start and starts again when another one arrives, or before it.
/// Counts the requests to the new worker.
static asio::awaitable<void> StartAgain(Tcp::acceptor& acceptor, WorkerEnd end,
                                        int& to_new) {
  {
    Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    co_await Respond(socket, ReportOf(1).c_str());
    co_await Respond(socket, kStarted);
    if (end == WorkerEnd::kAfterRequest) co_await ReadRequest(socket);
  }
  for (;;) {
    Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    co_await Respond(socket, ReportOf(2).c_str());
    ++to_new;
    co_await ReadRequest(socket);
    ++to_new;
  }
}

TEST_CASE("no start for a former worker is sent to the next one") {
  // The next worker's clock read the lease's deadline as far ahead. So it kept
  // the run for longer than the owner knew, and the task ran twice.
  const WorkerEnd end =
      GENERATE(WorkerEnd::kBeforeRequest, WorkerEnd::kAfterRequest);
  asio::io_context context;
  Tcp::acceptor acceptor(context,
                         Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  int to_new = 0;
  asio::co_spawn(context, StartAgain(acceptor, end, to_new), asio::detached);
  jobs::VmListing vm;
  vm.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  cell::CommandAnswer first;
  cell::CommandAnswer second;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        adapter::ExecutorClient client(context);
        const jobs::RunCommand start;
        const cell::CommandContext to_former{1, 5'000, {/*start_ms=*/1, 0}};
        first = co_await client.Send(vm, start, to_former);
        co_await net::Sleep(Millis(20));
        second = co_await client.Send(vm, start, to_former);
        co_await net::Sleep(Millis(20));
        context.stop();
      },
      asio::detached);
  context.run();
  CHECK(first.outcome == jobs::RunCommandOutcome::kDone);
  // The former worker may have received the one that broke its connection.
  CHECK(second.outcome == (end == WorkerEnd::kAfterRequest
                               ? jobs::RunCommandOutcome::kUnknown
                               : jobs::RunCommandOutcome::kOtherWorker));
  CHECK(to_new == 1);
}
