#include "fakes/free_address.h"

#include <unistd.h>

#include <atomic>

#include "net/http_server.h"

namespace basilspur::fakes {

static constexpr int kFirstPort = 20'000;
static constexpr int kPortCount = 12'000;
/// Distance between the first ports of processes with consecutive ids, so that
/// tests that run in parallel search far apart.
static constexpr int kPortStridePerProcess = 101;

std::string FreeAddress() {
  static std::atomic<int> call_count{0};
  for (;;) {
    const int number =
        static_cast<int>(getpid()) * kPortStridePerProcess + call_count++;
    const int port = kFirstPort + number % kPortCount;
    std::string address = "127.0.0.1:" + std::to_string(port);
    net::asio::io_context context;
    if (IsOk(net::Listen(context, address))) return address;
  }
}

}  // namespace basilspur::fakes
