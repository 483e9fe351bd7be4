// Stand-in for an executor of a service. /echo returns the request's body, all
// other paths a short text. /ledger lists the start and the end of each
// executed request, by its id. /control makes the executor delay responses
// (delay_ms), refuse requests with 503 (refuse), or not respond at all (silent,
// silent_next). A request's parameter work_ms overrides the delay.
#include <string>
#include <vector>

#include "standins/query.h"
#include "standins/run_standin.h"

using basilspur::Millis;
using basilspur::net::HttpRequest;
using basilspur::net::HttpResponse;
namespace asio = basilspur::net::asio;

static constexpr unsigned kHttpUnavailable = 503;
static constexpr Millis kUnresponsivePollInterval(20);

class StandinExecutor {
 public:
  asio::awaitable<HttpResponse> HandleRequest(HttpRequest request) {
    const auto query = basilspur::standins::ParseQuery(request.target);
    HttpResponse response;
    response.content_type = "text/plain";
    if (query.path == "/ledger") {
      for (const auto& event : ledger_) response.body += event + "\n";
      co_return response;
    }
    if (query.path == "/control") {
      delay_ms_ = query.IntegerParameter("delay_ms", delay_ms_);
      refuses_requests_ =
          query.IntegerParameter("refuse", refuses_requests_) != 0;
      unresponsive_ = query.IntegerParameter("silent", unresponsive_) != 0;
      requests_to_ignore_ =
          query.IntegerParameter("silent_next", requests_to_ignore_);
      response.body = "ok\n";
      co_return response;
    }
    if (refuses_requests_) {
      response.status = kHttpUnavailable;
      response.headers["Basilspur-Outcome"] = "not-run";
      co_return response;
    }
    // Simulates a connection that breaks without being closed: neither this
    // request nor a later one on its connection gets a response.
    const bool ignored = requests_to_ignore_ > 0;
    if (ignored) --requests_to_ignore_;
    while (unresponsive_ || ignored)
      co_await basilspur::net::Sleep(kUnresponsivePollInterval);
    ledger_.push_back("start " + RequestIdOf(request));
    const std::int64_t work_ms = query.IntegerParameter("work_ms", delay_ms_);
    if (work_ms > 0) co_await basilspur::net::Sleep(Millis(work_ms));
    ledger_.push_back("end " + RequestIdOf(request));
    response.body = query.path == "/echo" ? std::move(request.body) : "done\n";
    co_return response;
  }

 private:
  static std::string RequestIdOf(const HttpRequest& request) {
    for (const char* name : {"Idempotency-Key", "X-Request-Id"}) {
      const auto found = request.headers.find(name);
      if (found != request.headers.end()) return found->second;
    }
    return "-";
  }

  std::vector<std::string> ledger_;
  std::int64_t delay_ms_ = 0;
  bool refuses_requests_ = false;
  bool unresponsive_ = false;
  std::int64_t requests_to_ignore_ = 0;
};

int main(int argc, char** argv) {
  asio::io_context context(1);
  StandinExecutor executor;
  return basilspur::standins::RunStandin(
      {argv, static_cast<std::size_t>(argc)}, context,
      [&](HttpRequest request) {
        return executor.HandleRequest(std::move(request));
      });
}
