#include "soak/soak_caller.h"

#include <algorithm>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <cstdio>
#include <thread>

namespace basilspur::soak {

/// The callers' time limit and number of attempts, as in the users' sites.
static constexpr Millis kRequestLimit(3'000);
static constexpr int kMaxAttempts = 5;
/// With less time than this left, no further attempt is made.
static constexpr Millis kMinAttemptTime(100);
/// A request that was sent less than this before the connection ended may have
/// been in the kernel's buffer when the process exited.
static constexpr Millis kUnreadTime(200);

static void Pause(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

static bool IsSuccess(unsigned status) { return status == 200; }

SoakCaller::SoakCaller(std::vector<std::string> addresses, std::uint64_t seed,
                       int number, CallLedger& ledger)
    : addresses_(std::move(addresses)),
      number_(number),
      seed_(seed),
      ledger_(ledger),
      random_(seed * 1'000 + number) {}

int SoakCaller::Between(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random_);
}

void SoakCaller::Run(const std::atomic<bool>& stopped) {
  while (!stopped) {
    const int choice = Between(0, 99);
    if (choice < 25 || accepted_.empty()) {
      SubmitJob();
    } else if (choice < 85) {
      CallAboutJob("GET");
    } else if (choice < 90) {
      CallAboutJob("DELETE");
    } else {
      const Millis started = clock_.Monotonic();
      const unsigned status = Send({"GET", "/q/", ""}).back();
      ledger_.CountRequest(IsSuccess(status), clock_.Monotonic() - started);
    }
    Pause(Between(10, 120));
  }
}

void SoakCaller::SubmitJob() {
  char id[17];
  std::snprintf(id, sizeof(id), "%08x%04x%04x", static_cast<unsigned>(seed_),
                static_cast<unsigned>(number_),
                static_cast<unsigned>(++submitted_));
  SubmittedJob job;
  job.tasks = Between(1, 2);
  const int cpu = Between(1, 2) * 500;
  const std::string cpu_text = std::to_string(cpu);
  const std::string body = R"({"spec":")" + std::to_string(Between(20, 400)) +
                           " " + cpu_text + R"(","steps":[{"count":)" +
                           std::to_string(job.tasks) + R"(,"cpu":)" + cpu_text +
                           R"(,"mem_mb":100}]})";
  const Millis started = clock_.Monotonic();
  const std::vector<unsigned> statuses =
      Send({"POST", "/q/" + std::string(id), body});
  const bool refused = std::all_of(
      statuses.begin(), statuses.end(),
      [](unsigned status) { return status == 429 || status == 503; });
  if (refused) job.reply = SubmittedJob::Reply::kRefused;
  if (IsSuccess(statuses.back())) {
    job.reply = SubmittedJob::Reply::kAccepted;
    accepted_.emplace_back(id);
  }
  ledger_.AddJob(id, job);
  ledger_.CountRequest(IsSuccess(statuses.back()),
                       clock_.Monotonic() - started);
}

void SoakCaller::CallAboutJob(const std::string& method) {
  const int newest = static_cast<int>(accepted_.size()) - 1;
  const std::string job = accepted_[Between(0, newest)];
  if (method == "DELETE") ledger_.MarkCancelled(job);
  const Millis started = clock_.Monotonic();
  const unsigned status = Send({method, "/q/" + job, ""}).back();
  const bool ended_before = method == "DELETE" && status == 410;
  ledger_.CountRequest(IsSuccess(status) || ended_before,
                       clock_.Monotonic() - started);
}

std::vector<unsigned> SoakCaller::Send(const Request& request) {
  std::vector<unsigned> statuses;
  const Millis deadline = clock_.Monotonic() + kRequestLimit;
  while (static_cast<int>(statuses.size()) < kMaxAttempts) {
    const Millis left = deadline - clock_.Monotonic();
    if (left < kMinAttemptTime) break;
    const std::optional<unsigned> status = Attempt(request, left);
    if (!status) {
      Pause(Between(5, 30));
      continue;
    }
    statuses.push_back(*status);
    ledger_.CountAttempt(*status);
    if (*status >= 200 && *status < 500 && *status != 429) break;
    Pause(Between(50, 150));
  }
  // Without any attempt the job is as unknown to the entries as a refused one.
  if (statuses.empty()) statuses.push_back(503);
  return statuses;
}

std::optional<unsigned> SoakCaller::Attempt(const Request& request,
                                            Millis limit) {
  const int entry = Between(0, static_cast<int>(addresses_.size()) - 1);
  auto& connection = connections_[entry];
  if (!connection) {
    try {
      connection =
          std::make_unique<system_test::CallerConnection>(addresses_[entry]);
    } catch (const boost::system::system_error&) {
      return std::nullopt;  // The process is not running.
    }
  }
  const unsigned status =
      connection->Call(request.method, request.path, request.body, limit);
  const std::optional<Millis> ended_after = connection->EndedAfter();
  if (ended_after && *ended_after > kUnreadTime) {
    ledger_.AddCut(request.method + " " + request.path + " at entry " +
                   std::to_string(entry) + ", connection ended " +
                   std::to_string(ended_after->count) + " ms after it");
  }
  if (status == 0 || connection->IsClosing()) connection.reset();
  return status;
}

}  // namespace basilspur::soak
