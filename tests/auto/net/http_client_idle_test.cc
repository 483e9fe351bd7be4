#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "net/http_client.h"
#include "net/timer.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
namespace asio = basilspur::net::asio;
using Tcp = asio::ip::tcp;

static constexpr char kResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
static constexpr Millis kTimeout(2'000);
static constexpr Millis kShortTimeout(150);

static asio::awaitable<void> RespondOnce(Tcp::socket& socket) {
  std::string text;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(text),
                                  "\r\n\r\n", asio::use_awaitable);
  co_await asio::async_write(socket, asio::buffer(std::string(kResponse)),
                             asio::use_awaitable);
}

/// Answers one request and ends, as a killed process does.
static asio::awaitable<void> RespondThenEnd(Tcp::acceptor& acceptor) {
  Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
  co_await RespondOnce(socket);
  acceptor.close();
}

/// Answers one request on each of two connections, and nothing after that.
static asio::awaitable<void> RespondThenKeepSilent(Tcp::acceptor& acceptor) {
  Tcp::socket first = co_await acceptor.async_accept(asio::use_awaitable);
  Tcp::socket second = co_await acceptor.async_accept(asio::use_awaitable);
  co_await RespondOnce(first);
  co_await RespondOnce(second);
  acceptor.close();
  co_await net::Sleep(kTimeout);
}

class Peer {
 public:
  explicit Peer(asio::io_context& context)
      : acceptor(context,
                 Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        address("127.0.0.1:" +
                std::to_string(acceptor.local_endpoint().port())) {}

  Tcp::acceptor acceptor;
  std::string address;
};

static net::HttpRequest MakeRequest() {
  net::HttpRequest request;
  request.method = "GET";
  request.target = "/";
  return request;
}

TEST_CASE("no request is written to a connection that the peer has closed") {
  // It would be in doubt, and its caller would get 504 although no process has
  // received it.
  asio::io_context context;
  Peer peer(context);
  asio::co_spawn(context, RespondThenEnd(peer.acceptor), asio::detached);
  std::optional<Result<net::HttpResponse>> second;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        net::HttpClient client(context);
        const auto first =
            co_await client.Call(peer.address, MakeRequest(), kTimeout);
        CHECK(IsOk(first));
        co_await net::Sleep(Millis(50));
        second = co_await client.Call(peer.address, MakeRequest(), kTimeout);
      },
      asio::detached);
  context.run();
  REQUIRE(second);
  REQUIRE(!IsOk(*second));
  CHECK(ErrorOf(*second).code == ErrorCode::kRefused);
  CHECK(ErrorOf(*second).step == "connect");
}

TEST_CASE("after a time-out no other idle connection to the peer is used") {
  // A request on one would be in doubt as well while the peer is unreachable.
  asio::io_context context;
  Peer peer(context);
  asio::co_spawn(context, RespondThenKeepSilent(peer.acceptor), asio::detached);
  net::HttpClient client(context);
  std::optional<Result<net::HttpResponse>> silent;
  std::optional<Result<net::HttpResponse>> next;
  const auto call = [&]() -> asio::awaitable<void> {
    co_await client.Call(peer.address, MakeRequest(), kTimeout);
  };
  asio::co_spawn(context, call, asio::detached);
  asio::co_spawn(context, call, asio::detached);
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        co_await net::Sleep(Millis(100));
        silent =
            co_await client.Call(peer.address, MakeRequest(), kShortTimeout);
        next = co_await client.Call(peer.address, MakeRequest(), kShortTimeout);
      },
      asio::detached);
  context.run();
  REQUIRE(silent);
  REQUIRE(next);
  REQUIRE(!IsOk(*silent));
  CHECK(ErrorOf(*silent).code == ErrorCode::kTimeout);
  REQUIRE(!IsOk(*next));
  CHECK(ErrorOf(*next).step == "connect");
}

/// Answers each request on any number of connections, and counts those open.
static asio::awaitable<void> ServeAll(Tcp::acceptor& acceptor, int& open) {
  const auto serve = [&open](Tcp::socket socket) -> asio::awaitable<void> {
    ++open;
    try {
      for (;;) co_await RespondOnce(socket);
    } catch (const boost::system::system_error&) {
      --open;  // The client has closed the connection.
    }
  };
  for (;;) {
    asio::co_spawn(acceptor.get_executor(),
                   serve(co_await acceptor.async_accept(asio::use_awaitable)),
                   asio::detached);
  }
}

/// A client with a peer that counts its connections.
struct CountedConnections {
  explicit CountedConnections(net::HttpClientOptions options)
      : client(context, options) {
    asio::co_spawn(context, ServeAll(peer.acceptor, open), asio::detached);
    asio::co_spawn(context, ServeAll(other.acceptor, open_to_other),
                   asio::detached);
  }

  void Call(const std::string& address, int calls = 1) {
    for (int i = 0; i < calls; ++i) {
      asio::co_spawn(
          context,
          [&, address]() -> asio::awaitable<void> {
            served +=
                IsOk(co_await client.Call(address, MakeRequest(), kTimeout));
          },
          asio::detached);
    }
  }
  void RunFor(Millis duration) {
    context.restart();
    context.run_for(std::chrono::milliseconds(duration.count));
  }

  asio::io_context context;
  Peer peer{context};
  Peer other{context};
  net::HttpClient client;
  int open = 0;
  int open_to_other = 0;
  int served = 0;
};

TEST_CASE("idle connections to a peer are closed for their age") {
  // Those of former owners took up all connections of VMs, so that the present
  // owner could not reach them.
  net::HttpClientOptions options;
  options.max_idle_age = Millis(200);
  CountedConnections connections(options);
  connections.Call(connections.peer.address, 4);
  connections.RunFor(Millis(100));
  REQUIRE(connections.open == 4);
  connections.RunFor(Millis(600));
  connections.Call(connections.other.address);
  connections.RunFor(Millis(100));
  CHECK(connections.open == 0);
  CHECK(connections.open_to_other == 1);
}

TEST_CASE("the connections to a peer are closed once they are not needed") {
  // An owner that is replaced must not hold the connections of VMs.
  CountedConnections connections({});
  connections.Call(connections.peer.address, 3);
  connections.RunFor(Millis(100));
  REQUIRE(connections.open == 3);
  connections.client.Disconnect(connections.peer.address);
  connections.RunFor(Millis(100));
  CHECK(connections.open == 0);
  connections.Call(connections.peer.address);
  connections.client.Disconnect(connections.peer.address);
  connections.RunFor(Millis(100));
  CHECK(connections.served == 4);
}

TEST_CASE("a call under way when its peer is disconnected keeps nothing open") {
  // A renewal of a former owner is a long poll, which ends after it.
  CountedConnections connections({});
  connections.Call(connections.peer.address);
  while (connections.open == 0) connections.context.run_one();
  connections.client.Disconnect(connections.peer.address);
  connections.RunFor(Millis(100));
  CHECK(connections.served == 1);
  CHECK(connections.open == 0);
}

TEST_CASE("a client opens no more connections to a peer than it may") {
  // The entries that own a cell in turn share the connections of its VMs.
  net::HttpClientOptions options;
  options.max_connections_per_peer = 2;
  CountedConnections connections(options);
  connections.Call(connections.peer.address, 20);
  connections.RunFor(Millis(300));
  CHECK(connections.open == 2);
  CHECK(connections.served == 20);
}
