#include <unistd.h>

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <vector>

#include "net/http_server.h"
#include "net/timer.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
namespace asio = basilspur::net::asio;
using Tcp = asio::ip::tcp;

static constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
static constexpr int kConnections = 60;
static constexpr useconds_t kWaitMicros = 300'000;
static constexpr Millis kWait(300);
static constexpr Millis kRunDuration(500);

/// A server that has not run yet, and clients that have sent a request each.
class WaitingClients {
 public:
  explicit WaitingClients(net::HttpServerOptions options = {}) {
    const auto port = net::ServeHttp(
        server_, "127.0.0.1:0",
        [this](net::HttpRequest request) -> asio::awaitable<net::HttpResponse> {
          handled.push_back(request.age);
          co_return net::HttpResponse();
        },
        std::move(options));
    const Tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                 ValueOf(port));
    for (int i = 0; i < kConnections; ++i) {
      clients_.emplace_back(client_context_).connect(endpoint);
      asio::write(clients_.back(), asio::buffer(kRequest, sizeof kRequest - 1));
    }
  }

  asio::io_context& Server() { return server_; }
  std::vector<Tcp::socket>& Clients() { return clients_; }

  std::vector<Millis> handled;  ///< The ages of the handled requests.

 private:
  asio::io_context client_context_;
  asio::io_context server_;
  /// Declared after their context, which they use in their destructors.
  std::vector<Tcp::socket> clients_;
};

TEST_CASE("a server accepts waiting connections in few rounds of its loop") {
  // A slow machine that accepts one connection in a round accepts some 30 a
  // second, so that callers have given up before their request is read.
  WaitingClients waiting;
  int rounds = 0;
  const std::function<void()> count_round = [&] {
    ++rounds;
    if (waiting.handled.size() < kConnections)
      asio::post(waiting.Server(), count_round);
  };
  asio::post(waiting.Server(), count_round);
  waiting.Server().run_for(std::chrono::milliseconds(kRunDuration.count));
  CHECK(waiting.handled.size() == kConnections);
  CHECK(rounds < kConnections / 2);
}

TEST_CASE("a request whose sender has gone is not handled") {
  // Else an overloaded owner does nothing but answer requests that were given
  // up.
  std::vector<Millis> abandoned;
  net::HttpServerOptions options;
  options.on_abandoned = [&](Millis age) { abandoned.push_back(age); };
  WaitingClients waiting(std::move(options));
  waiting.Clients().erase(waiting.Clients().begin() + 1,
                          waiting.Clients().end());
  usleep(kWaitMicros);
  waiting.Server().run_for(std::chrono::milliseconds(kRunDuration.count));
  CHECK(waiting.handled.size() == 1);
  REQUIRE(abandoned.size() == kConnections - 1);
  CHECK(abandoned.front() >= kWait - Millis(50));
}

TEST_CASE("a server knows how long a request has waited when it reads it") {
  // An owner whose requests wait for seconds has no other sign of it: its ticks
  // may be on time.
  WaitingClients waiting;
  usleep(kWaitMicros);
  waiting.Server().run_for(std::chrono::milliseconds(kRunDuration.count));
  REQUIRE(waiting.handled.size() == kConnections);
  CHECK(waiting.handled.front() >= kWait - Millis(50));
}
