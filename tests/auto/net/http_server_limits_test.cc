// Refusals of requests that are outside the limits of a server.
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "net/http_server.h"
#include "net/memory_budget.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
namespace asio = basilspur::net::asio;
using Tcp = asio::ip::tcp;

static constexpr char kHead[] = "POST / HTTP/1.1\r\nHost: a\r\n";

/// A server with low limits on a thread of its own.
class LimitedServer {
 public:
  LimitedServer() {
    net::HttpServerOptions options;
    options.limits.max_header_bytes = 1'000;
    options.limits.max_body_bytes = 10'000;
    options.limits.request_timeout = Millis(200);
    options.memory_budget = &budget_;
    options.refusals = &refusals;
    const auto port = net::ServeHttp(
        context_, "127.0.0.1:0",
        [](net::HttpRequest) -> asio::awaitable<net::HttpResponse> {
          co_return net::HttpResponse();
        },
        options);
    endpoint_ =
        Tcp::endpoint(asio::ip::make_address("127.0.0.1"), ValueOf(port));
    thread_ = std::thread([this] { context_.run(); });
  }
  ~LimitedServer() {
    context_.stop();
    thread_.join();
  }

  /// Sends `text` and returns the status of the response, as text.
  std::string StatusOf(const std::string& text) {
    asio::io_context context;
    Tcp::socket socket(context);
    socket.connect(endpoint_);
    net::error_code failure;
    asio::write(socket, asio::buffer(text), failure);
    std::string response(12, ' ');
    asio::read(socket, asio::buffer(response), failure);
    return response.substr(9);
  }

  net::RefusalCounts refusals{};

 private:
  net::MemoryBudget budget_{100'000};
  asio::io_context context_{1};
  Tcp::endpoint endpoint_;
  std::thread thread_;
};

TEST_CASE("each part of a request that is too long has its own refusal") {
  LimitedServer server;
  const std::string chunked =
      std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string long_text(8'000, 'a');
  CHECK(server.StatusOf(std::string(kHead) + "X: " + long_text) == "431");
  CHECK(server.StatusOf("GET /" + long_text) == "431");
  CHECK(server.StatusOf(std::string(kHead) + "Content-Length: 10001\r\n\r\n") ==
        "413");
  CHECK(server.StatusOf(chunked + "2711\r\n" + std::string(10'001, 'a')) ==
        "413");
  CHECK(server.StatusOf(chunked + "1;" + long_text) == "400");
  CHECK(server.StatusOf(chunked + "1\r\na\r\n0\r\nX: " + long_text) == "400");
  CHECK(server.StatusOf("nonsense\r\n\r\n") == "400");
  CHECK(server.StatusOf(std::string(kHead) + "Content-Length: 10000\r\n\r\n" +
                        std::string(10'000, 'a')) == "200");
  CHECK(server.StatusOf(chunked + "1;a=b\r\na\r\n0\r\nX: b\r\n\r\n") == "200");
}

TEST_CASE("a request that arrives too slowly is refused") {
  LimitedServer server;
  CHECK(server.StatusOf(std::string(kHead) + "Content-Length: 2\r\n\r\na") ==
        "408");
  CHECK(server.StatusOf("G") == "408");
  CHECK(server.refusals[static_cast<std::size_t>(
            net::Refusal::kRequestTimeout)] == 2);
}
