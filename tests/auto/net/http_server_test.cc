#include "net/http_server.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

using namespace basilspur;  // NOLINT(google-build-using-namespace)
namespace http = boost::beast::http;

/// More than fits into the sockets' buffers.
static constexpr std::size_t kBodyBytes = 16 << 20;

static net::asio::awaitable<net::HttpResponse> SendLargeBody(net::HttpRequest) {
  net::HttpResponse response;
  response.body = std::string(kBodyBytes, 'a');
  co_return response;
}

/// The number of bytes of the body that arrive if more is sent after a request
/// whose connection the server closes.
static std::size_t ReceiveBody(std::uint16_t port) {
  net::asio::io_context context;
  net::asio::ip::tcp::socket socket(context);
  socket.connect({net::asio::ip::make_address("127.0.0.1"), port});
  http::request<http::empty_body> request(http::verb::get, "/", 11);
  request.keep_alive(false);
  http::write(socket, request);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  net::asio::write(socket, net::asio::buffer("GET /", 5));
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(2 * kBodyBytes);
  net::error_code failure;
  http::read(socket, buffer, parser, failure);
  return failure ? parser.get().body().size() : kBodyBytes;
}

TEST_CASE("a response is cut if its caller sends more before it has read it") {
  net::asio::io_context context;
  const auto port = net::ServeHttp(context, "127.0.0.1:0", SendLargeBody);
  std::thread server([&context] { context.run(); });
  for (int i = 0; i < 10; ++i) CHECK(ReceiveBody(ValueOf(port)) == kBodyBytes);
  context.stop();
  server.join();
}
