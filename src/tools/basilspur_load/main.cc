// Sends requests alternately to an entry and directly to an executor, and
// prints the throughput and latency quantiles of both.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "quantile.h"

using basilspur::IsOk;
using basilspur::Millis;
using basilspur::Quantile;
using basilspur::ValueOf;
using basilspur::net::HttpClient;
using basilspur::net::HttpRequest;
namespace asio = basilspur::net::asio;
using SteadyClock = std::chrono::steady_clock;

static constexpr Millis kTimeout(10'000);
static constexpr unsigned kHttpOk = 200;

/// The parameters of a series of requests to one address.
struct Series {
  std::string address;
  std::string host;
  std::string target;
  int connections = 1;
  int requests = 0;
  /// Request rate over all connections; 0: each connection sends its next
  /// request as soon as the previous one has been answered.
  double requests_per_second = 0;
};

/// The result of a series of requests.
struct SeriesResult {
  std::vector<double> latencies_ms;
  int failures = 0;
  double duration_s = 0;
};

static double MillisSince(SteadyClock::time_point begin) {
  const std::chrono::duration<double, std::milli> elapsed =
      SteadyClock::now() - begin;
  return elapsed.count();
}

/// Sends the requests of one connection. If a request rate is set, latencies
/// are measured from the time at which a request was due, not from the time at
/// which it was sent, so that a stall shows in the latencies of all requests
/// that it delays.
static asio::awaitable<void> RunConnection(asio::io_context& context,
                                           const Series& series,
                                           int connection_index,
                                           SeriesResult& result) {
  HttpClient client(context);
  const auto begin = SteadyClock::now();
  const int requests_per_connection = series.requests / series.connections;
  for (int i = 0; i < requests_per_connection; ++i) {
    auto due_at = SteadyClock::now();
    if (series.requests_per_second > 0) {
      const double offset_s = (i * series.connections + connection_index) /
                              series.requests_per_second;
      due_at = begin + std::chrono::duration_cast<SteadyClock::duration>(
                           std::chrono::duration<double>(offset_s));
      asio::steady_timer timer(context, due_at);
      co_await timer.async_wait(asio::use_awaitable);
    }
    HttpRequest request;
    request.target = series.target;
    request.headers["Host"] = series.host;
    const auto response =
        co_await client.Call(series.address, std::move(request), kTimeout);
    if (IsOk(response) && ValueOf(response).status == kHttpOk) {
      result.latencies_ms.push_back(MillisSince(due_at));
    } else {
      ++result.failures;
    }
  }
}

static SeriesResult RunSeries(const Series& series) {
  asio::io_context context(1);
  SeriesResult result;
  const auto begin = SteadyClock::now();
  for (int i = 0; i < series.connections; ++i) {
    asio::co_spawn(context, RunConnection(context, series, i, result),
                   asio::detached);
  }
  context.run();
  result.duration_s = MillisSince(begin) / 1'000;
  std::sort(result.latencies_ms.begin(), result.latencies_ms.end());
  return result;
}

static void PrintResult(const char* name, const SeriesResult& result) {
  std::printf(
      "%-8s %9.0f/s  p50 %7.3f ms  p99 %7.3f ms  p99.9 %7.3f ms  "
      "failed %d\n",
      name, static_cast<double>(result.latencies_ms.size()) / result.duration_s,
      Quantile(result.latencies_ms, 0.5), Quantile(result.latencies_ms, 0.99),
      Quantile(result.latencies_ms, 0.999), result.failures);
}

int main(int argc, char** argv) {
  cxxopts::Options options(
      "basilspur_load",
      "Measures the latency of requests through an entry and directly to an "
      "executor.");
  options.add_options()("entry", "address of an entry for callers",
                        cxxopts::value<std::string>())(
      "direct", "address of an executor", cxxopts::value<std::string>())(
      "service", "name of the service", cxxopts::value<std::string>())(
      "target", "request target (path and query)",
      cxxopts::value<std::string>()->default_value("/x"))(
      "connections", "number of concurrent connections",
      cxxopts::value<int>()->default_value("8"))(
      "requests", "number of requests per round",
      cxxopts::value<int>()->default_value("20000"))(
      "rate",
      "requests per second; 0: send the next request as soon as the previous "
      "one is answered",
      cxxopts::value<double>()->default_value("0"))(
      "rounds", "number of rounds", cxxopts::value<int>()->default_value("3"))(
      "h,help", "show this help");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0 || parsed.count("entry") == 0) {
    std::cout << options.help();
    return 0;
  }
  Series series;
  series.host = parsed["service"].as<std::string>();
  series.target = parsed["target"].as<std::string>();
  series.connections = parsed["connections"].as<int>();
  series.requests = parsed["requests"].as<int>();
  series.requests_per_second = parsed["rate"].as<double>();
  for (int round = 0; round < parsed["rounds"].as<int>(); ++round) {
    if (parsed.count("direct") > 0) {
      series.address = parsed["direct"].as<std::string>();
      PrintResult("direct", RunSeries(series));
    }
    series.address = parsed["entry"].as<std::string>();
    PrintResult("entry", RunSeries(series));
  }
  return 0;
}
