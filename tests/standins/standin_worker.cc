// Stand-in for a worker of the platform. /ledger lists the events of all runs
// with their times on the wall clock. /control makes all tasks fail (broken),
// makes the worker unresponsive (cut) or crashes it (crash).
#include <string>

#include "fakes/fake_worker.h"
#include "records/codec.h"
#include "standins/query.h"
#include "standins/run_standin.h"

using basilspur::IsOk;
using basilspur::Millis;
using basilspur::SystemClock;
using basilspur::fakes::FakeWorker;
using basilspur::infra::SyncRequest;
using basilspur::net::HttpRequest;
using basilspur::net::HttpResponse;
namespace asio = basilspur::net::asio;
namespace records = basilspur::records;

static constexpr Millis kStepInterval(5);
static constexpr unsigned kHttpBadRequest = 400;

class StandinWorker {
 public:
  asio::awaitable<HttpResponse> HandleRequest(HttpRequest request) {
    const auto query = basilspur::standins::ParseQuery(request.target);
    if (query.path == "/ledger") co_return LedgerResponse();
    if (query.path == "/control") {
      worker_.SetFailsAllTasks(query.IntegerParameter("broken", 0) != 0);
      unresponsive_ = query.IntegerParameter("cut", 0) != 0;
      if (query.IntegerParameter("crash", 0) != 0) worker_.Crash(clock_.Wall());
      co_return HttpResponse{};
    }
    // An unresponsive worker accepts requests but processes none.
    while (unresponsive_) co_await basilspur::net::Sleep(kStepInterval);
    const std::span<const std::uint8_t> bytes(
        reinterpret_cast<const std::uint8_t*>(request.body.data()),
        request.body.size());
    const auto sync = records::Decode<SyncRequest>(bytes);
    HttpResponse response;
    if (!IsOk(sync)) {
      response.status = kHttpBadRequest;
      co_return response;
    }
    const auto reply = worker_.Sync(basilspur::ValueOf(sync), clock_.Wall());
    const records::Bytes encoded = records::Encode(reply);
    response.body.assign(encoded.begin(), encoded.end());
    co_return response;
  }

  asio::awaitable<void> StepLoop() {
    for (;;) {
      co_await basilspur::net::Sleep(kStepInterval);
      worker_.Step(clock_.Wall());
    }
  }

 private:
  HttpResponse LedgerResponse() const {
    HttpResponse response;
    for (const auto& event : worker_.Ledger()) {
      response.body += event.run.job + " " + std::to_string(event.run.number) +
                       " " + event.type + " " + std::to_string(event.at.count) +
                       " " + std::to_string(event.progress_ms) + "\n";
    }
    return response;
  }

  SystemClock clock_;
  FakeWorker worker_;
  bool unresponsive_ = false;
};

int main(int argc, char** argv) {
  asio::io_context context(1);
  StandinWorker worker;
  asio::co_spawn(context, worker.StepLoop(), asio::detached);
  return basilspur::standins::RunStandin(
      {argv, static_cast<std::size_t>(argc)}, context,
      [&](HttpRequest request) {
        return worker.HandleRequest(std::move(request));
      });
}
