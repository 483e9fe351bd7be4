#include "net/http_client.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

using namespace basilspur;  // NOLINT(google-build-using-namespace)
namespace asio = basilspur::net::asio;
using Tcp = asio::ip::tcp;

static constexpr char kAnswer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
static constexpr Millis kTimeout(2'000);

static net::HttpRequest MakeRequest() {
  net::HttpRequest request;
  request.method = "GET";
  request.target = "/";
  return request;
}

static asio::awaitable<void> ReadRequest(Tcp::socket& socket) {
  std::string text;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(text),
                                  "\r\n\r\n", asio::use_awaitable);
}

/// Answers one request, takes a second one on the same connection, and is
/// killed then: nothing listens any more.
static asio::awaitable<void> AnswerOnceThenDie(Tcp::acceptor& acceptor) {
  Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
  co_await ReadRequest(socket);
  co_await asio::async_write(socket, asio::buffer(std::string(kAnswer)),
                             asio::use_awaitable);
  co_await ReadRequest(socket);
  acceptor.close();
  socket.close();
}

TEST_CASE("a request that was sent is never reported as one that was not") {
  asio::io_context context;
  Tcp::acceptor acceptor(context,
                         Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  asio::co_spawn(context, AnswerOnceThenDie(acceptor), asio::detached);
  std::optional<Result<net::HttpResponse>> second;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        net::HttpClient client(context);
        const net::HttpRequest request = MakeRequest();
        const auto first = co_await client.Call(address, request, kTimeout);
        CHECK(IsOk(first));
        second = co_await client.Call(address, request, kTimeout);
      },
      asio::detached);
  context.run();
  REQUIRE(second);
  REQUIRE(!IsOk(*second));
  CHECK(ErrorOf(*second).step == "receive");
}

TEST_CASE("where nothing listens, nothing was sent") {
  asio::io_context context;
  std::optional<Result<net::HttpResponse>> answer;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        net::HttpClient client(context);
        const net::HttpRequest request = MakeRequest();
        answer = co_await client.Call("127.0.0.1:1", request, kTimeout);
      },
      asio::detached);
  context.run();
  REQUIRE(answer);
  REQUIRE(!IsOk(*answer));
  CHECK(ErrorOf(*answer).step == "connect");
}
