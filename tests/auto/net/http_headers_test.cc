#include "net/http_headers.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "net/http_client.h"
#include "net/http_server.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
namespace asio = basilspur::net::asio;

static constexpr Millis kTimeout(2'000);

static asio::awaitable<net::HttpResponse> ReturnDeadline(
    net::HttpRequest request) {
  net::HttpResponse response;
  response.body = request.headers["Basilspur-Deadline-Ms"];
  response.headers["retry-after"] = "3";
  co_return response;
}

// A caller that sent its deadline in lower case got the default deadline.
TEST_CASE("headers are not found by a name of another case") {
  asio::io_context context;
  const auto port = net::ServeHttp(context, "127.0.0.1:0", ReturnDeadline);
  REQUIRE(IsOk(port));
  net::HttpRequest request;
  const std::string name =
      GENERATE("Basilspur-Deadline-Ms", "basilspur-deadline-ms",
               "BASILSPUR-DEADLINE-MS");
  request.headers[name] = "250";
  std::optional<Result<net::HttpResponse>> response;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        net::HttpClient client(context);
        response = co_await client.Call(
            "127.0.0.1:" + std::to_string(ValueOf(port)), request, kTimeout);
        context.stop();
      },
      asio::detached);
  context.run_for(std::chrono::milliseconds(2 * kTimeout.count));
  REQUIRE(response);
  REQUIRE(IsOk(*response));
  CHECK(ValueOf(*response).body == "250");
  CHECK(ValueOf(*response).headers["Retry-After"] == "3");
}

// Names that differ by case must not be sent as two headers.
TEST_CASE("a header is kept twice under names that differ by case") {
  net::HttpHeaders headers;
  headers["Host"] = "a";
  headers["HOST"] = "b";
  CHECK(headers.size() == 1);
  CHECK(headers.at("host") == "b");
  CHECK(headers.count("hos") == 0);
}
