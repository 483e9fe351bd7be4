// Stand-in for an executor as a process of its own. Registers itself in the
// store, renews its entry every 1.1 s, takes 64 connections at a time, and
// writes what it runs to a file.
#include "executor.h"

#include <iostream>

#include "channel_cap.h"
#include "net/http_client.h"
#include "net/spawn.h"
#include "store_call.h"

using namespace basilspur;          // NOLINT(google-build-using-namespace)
using namespace basilspur::review;  // NOLINT(google-build-using-namespace)
namespace asio = basilspur::net::asio;

static constexpr Millis kHeartbeat(1'100);
static constexpr Millis kHoldMax(6'000);
static constexpr int kChannels = 64;
/// No idle connection is closed in the time of a case.
static constexpr Millis kIdleTimeout(600'000);

static asio::awaitable<void> Register(asio::io_context& context, std::string id,
                                      std::string address, std::string store,
                                      int cpu_millis, std::string rack) {
  net::HttpClient client(context);
  for (int seq = 1;; ++seq) {
    const nlohmann::json entry = {
        {"service", "catalogue"},
        {"address", address},
        {"zone", "z1"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_left_ms", 0},
        {"seq", seq},
        {"room", {{"cpu", cpu_millis}, {"mem_mb", 16'000}, {"gpu", 0}}},
        {"labels", {"a", rack}}};
    co_await client.Call(store, MakeAppend("keyed.servers", id, entry.dump()),
                         Millis(1'000));
    co_await net::Sleep(kHeartbeat);
  }
}

/// Writes how many connections are open and were reset, whenever that changes.
static asio::awaitable<void> WriteChannels(const ChannelCap& channels,
                                           Executor& executor) {
  for (int open = 0, reset = 0;; co_await net::Sleep(Millis(1'000))) {
    if (open == channels.Open() && reset == channels.Reset()) continue;
    open = channels.Open();
    reset = channels.Reset();
    executor.Write("channels open " + std::to_string(open) + " reset " +
                   std::to_string(reset));
  }
}

/// Ends runs in time also while nobody calls.
static asio::awaitable<void> EndRuns(Executor& executor) {
  for (;; co_await net::Sleep(Millis(50))) executor.Tick();
}

int main(int argc, char** argv) {
  if (argc != 7) {
    std::cerr << "usage: executor ID ADDRESS STORE RECORD CPU RACK\n";
    return 2;
  }
  asio::io_context context(1);
  Executor executor(argv[1], kHoldMax, argv[4]);
  net::HttpServerOptions options;
  options.limits.idle_timeout = kIdleTimeout;
  options.limits.max_connections = 4 * kChannels;
  const auto port = net::ServeHttp(
      context, "127.0.0.1:0",
      [&](net::HttpRequest request) {
        return executor.HandleRequest(std::move(request));
      },
      options);
  if (!IsOk(port)) return 3;
  ChannelCap channels(
      context, {asio::ip::make_address("127.0.0.1"), ValueOf(port)}, kChannels);
  if (!channels.Listen(argv[2])) return 3;
  net::Spawn(context, EndRuns(executor), "end_runs");
  net::Spawn(context, WriteChannels(channels, executor), "write_channels");
  net::Spawn(
      context,
      Register(context, argv[1], argv[2], argv[3], std::stoi(argv[5]), argv[6]),
      "register");
  context.run();
}
