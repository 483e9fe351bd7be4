#include "net/http_client.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

using namespace basilspur;  // NOLINT(google-build-using-namespace)
namespace asio = basilspur::net::asio;
using Tcp = asio::ip::tcp;

static constexpr char kResponse[] =
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

/// Answers one request, reads a second one on the same connection, and then
/// closes both the connection and the listening socket, as a killed process
/// does.
static asio::awaitable<void> RespondOnceThenClose(Tcp::acceptor& acceptor) {
  Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
  co_await ReadRequest(socket);
  co_await asio::async_write(socket, asio::buffer(std::string(kResponse)),
                             asio::use_awaitable);
  co_await ReadRequest(socket);
  acceptor.close();
  socket.close();
}

TEST_CASE(
    "a request that may have been sent is not reported as a failure to "
    "connect") {
  asio::io_context context;
  Tcp::acceptor acceptor(context,
                         Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  asio::co_spawn(context, RespondOnceThenClose(acceptor), asio::detached);
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

TEST_CASE(
    "a request to an address where nothing listens fails at the connect step") {
  asio::io_context context;
  std::optional<Result<net::HttpResponse>> result;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        net::HttpClient client(context);
        const net::HttpRequest request = MakeRequest();
        result = co_await client.Call("127.0.0.1:1", request, kTimeout);
      },
      asio::detached);
  context.run();
  REQUIRE(result);
  REQUIRE(!IsOk(*result));
  CHECK(ErrorOf(*result).step == "connect");
}
