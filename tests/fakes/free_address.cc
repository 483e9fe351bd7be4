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

std::string ProcessLoopbackIp() {
  const auto id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + (id >> 16 & 0x7f)) + "." +
         std::to_string(id >> 8 & 0xff) + "." + std::to_string(id & 0xff);
}

std::string FreeAddress(const std::string& ip) {
  static std::atomic<int> call_count{0};
  for (;;) {
    const int number =
        static_cast<int>(getpid()) * kPortStridePerProcess + call_count++;
    const int port = kFirstPort + number % kPortCount;
    std::string address = ip + ":" + std::to_string(port);
    net::asio::io_context context;
    if (IsOk(net::Listen(context, address))) return address;
  }
}

}  // namespace basilspur::fakes
