#include "net/spawn.h"

#include <exception>
#include <string>
#include <utility>

#include "base/logging.h"

namespace basilspur::net {

static constexpr LogCategory kLog("net");

static std::string DescribeException(const std::exception_ptr& exception) {
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "unknown exception";
  }
}

void Spawn(asio::io_context& context, asio::awaitable<void> coroutine,
           const char* name, std::function<void()> on_failure) {
  asio::co_spawn(
      context, std::move(coroutine),
      [name, on_failure =
                 std::move(on_failure)](const std::exception_ptr& exception) {
        if (!exception) return;
        kLog.Error("event=coroutine_failed name=" + std::string(name) +
                   " error=\"" + DescribeException(exception) + "\"");
        if (on_failure) on_failure();
      });
}

void RunHandlers(asio::io_context& context) {
  for (;;) {
    try {
      context.run();
      return;
    } catch (...) {
      kLog.Error("event=handler_failed error=\"" +
                 DescribeException(std::current_exception()) + "\"");
    }
  }
}

}  // namespace basilspur::net
