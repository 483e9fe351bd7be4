// Answers outside the limits: a client that keeps them until they end runs out
// of memory.
#include <array>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "net/http_client.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
namespace asio = basilspur::net::asio;
using Tcp = asio::ip::tcp;

/// More than the buffers of two sockets hold.
static constexpr std::size_t kMaxBytes = 64 << 20;

/// Answers the first request with `head` and an endless repetition of `filler`.
/// Returns how much of it the client has taken.
static asio::awaitable<void> AnswerWithoutEnd(Tcp::acceptor& acceptor,
                                              std::string head,
                                              std::string filler,
                                              std::size_t& sent) {
  Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
  std::array<char, 4'096> request;
  net::error_code failure;
  const auto token = [&] {
    return asio::redirect_error(asio::use_awaitable, failure);
  };
  co_await socket.async_read_some(asio::buffer(request), token());
  co_await asio::async_write(socket, asio::buffer(head), token());
  while (!failure && sent < kMaxBytes)
    sent += co_await asio::async_write(socket, asio::buffer(filler), token());
}

TEST_CASE("an answer without end fills the memory of its client") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string head = GENERATE_COPY(
      std::string("HTTP/1.1 200 OK\r\nX: "), chunked + "1;",
      chunked + "1\r\na\r\n0\r\nX: ", std::string("HTTP/1.1 200 OK\r\n\r\n"));
  asio::io_context context;
  Tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  std::size_t sent = 0;
  asio::co_spawn(
      context, AnswerWithoutEnd(acceptor, head, std::string(65'536, 'a'), sent),
      asio::detached);
  std::optional<Result<net::HttpResponse>> answer;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        net::HttpClient client(context);
        const net::HttpRequest request;
        const std::string address =
            "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        answer = co_await client.Call(address, request, Millis(20'000));
      },
      asio::detached);
  context.run();
  REQUIRE(answer);
  CHECK_FALSE(IsOk(*answer));
  CHECK(sent < kMaxBytes);
}
