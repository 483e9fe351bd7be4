#include "net/spawn.h"

#include <catch2/catch.hpp>
#include <stdexcept>

using namespace basilspur;  // NOLINT(google-build-using-namespace)

static net::asio::awaitable<void> Throw() {
  co_await net::Sleep(Millis(1));
  throw std::runtime_error("unexpected");
}

static net::asio::awaitable<void> Finish(bool* finished) {
  co_await net::Sleep(Millis(5));
  *finished = true;
}

TEST_CASE("an exception ends only the coroutine that it leaves") {
  net::asio::io_context context;
  bool failed = false;
  bool finished = false;
  net::Spawn(context, Throw(), "throwing", [&] { failed = true; });
  net::Spawn(context, Finish(&finished), "finishing",
             [] { FAIL("it did not fail"); });
  context.run();
  CHECK(failed);
  CHECK(finished);
}

TEST_CASE("an exception of a handler does not keep others from running") {
  net::asio::io_context context;
  bool finished = false;
  net::asio::post(context, [] { throw std::runtime_error("unexpected"); });
  net::asio::post(context, [&] { finished = true; });
  net::RunHandlers(context);
  CHECK(finished);
}
