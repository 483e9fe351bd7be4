#include "soak/soak_run.h"

#include <boost/system/system_error.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include "soak/soak_caller.h"
#include "system/caller_connection.h"

namespace basilspur::soak {

using system_test::CallerConnection;

/// The gate of the users' rules: refused and failed requests are at most 60 %
/// of those owed. No higher share is stated for planned work.
static constexpr int kMinServedPercent = 40;
/// The callers' time limit in the users' sites.
static constexpr Millis kQueryLimit(3'000);
/// How long after the traffic all jobs have ended, as in the users' sites.
static constexpr Millis kFinishTime(14'000);

SoakRun::SoakRun(const SoakPlan& plan)
    : plan_(plan),
      deployment_(plan.entries, plan.workers, plan.cells),
      operator_(plan, deployment_) {}

std::vector<std::string> SoakRun::Play() {
  CheckReady();
  if (!findings_.empty()) return findings_;
  PlayTraffic();
  CheckJobsAtEntries();
  operator_.StopAll();
  for (const std::string& finding : operator_.Findings()) Report(finding);
  if (plan_.planned_only) {
    for (const std::string& cut : ledger_.Cuts()) Report("cut: " + cut);
    CheckLogs();
    CheckShare();
  }
  deployment_.RunOnStandins([this] { CheckRuns(); });
  return findings_;
}

void SoakRun::CheckReady() {
  try {
    deployment_.WaitUntilReady();
  } catch (const std::runtime_error& error) {
    Report(std::string("ready: ") + error.what());
  }
}

void SoakRun::PlayTraffic() {
  std::vector<std::string> addresses;
  for (int i = 0; i < plan_.entries; ++i) {
    addresses.push_back(deployment_.CallerAddress(i));
  }
  std::atomic<bool> stopped = false;
  std::vector<std::future<void>> callers;
  for (int i = 0; i < plan_.callers; ++i) {
    callers.push_back(std::async(std::launch::async, [&, i] {
      SoakCaller(addresses, plan_.seed, i, ledger_).Run(stopped);
    }));
  }
  operator_.CarryOut();
  CheckReady();
  stopped = true;
  for (auto& caller : callers) caller.get();
}

void SoakRun::CheckJobsAtEntries() {
  const SystemClock clock;
  const Millis deadline = clock.Monotonic() + kFinishTime;
  std::vector<std::future<std::vector<std::string>>> checks;
  for (int i = 0; i < plan_.entries; ++i) {
    checks.push_back(std::async(std::launch::async,
                                [this, i] { return CheckJobsAtEntry(i); }));
  }
  for (auto& check : checks) {
    for (const std::string& finding : check.get()) Report(finding);
  }
  for (const auto& [job, submitted] : ledger_.Jobs()) {
    if (submitted.reply == SubmittedJob::Reply::kAccepted) {
      CheckEndOfJob(job, deadline);
    }
  }
}

std::vector<std::string> SoakRun::CheckJobsAtEntry(int entry) {
  std::vector<std::string> findings;
  std::unique_ptr<CallerConnection> connection;
  for (const auto& [job, submitted] : ledger_.Jobs()) {
    if (submitted.reply != SubmittedJob::Reply::kAccepted) continue;
    unsigned status = 0;
    try {
      if (!connection) {
        connection = std::make_unique<CallerConnection>(
            deployment_.CallerAddress(entry));
      }
      status = connection->Call("GET", "/q/" + job, "", kQueryLimit);
    } catch (const boost::system::system_error&) {
      status = 0;
    }
    if (status == 200) continue;
    connection.reset();
    findings.push_back("unknown: GET of accepted job " + job + " at entry " +
                       std::to_string(entry) + ": status " +
                       std::to_string(status));
  }
  return findings;
}

void SoakRun::CheckEndOfJob(const std::string& job, Millis deadline) {
  const SystemClock clock;
  std::string state;
  do {
    state = deployment_.JobStateOf(0, job);
    if (state == "done") return;
    if (state == "cancelled" && ledger_.Jobs().at(job).cancelled) return;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  } while (clock.Monotonic() < deadline);
  Report("end: accepted job " + job + " has state '" + state + "'");
}

void SoakRun::CheckLogs() {
  for (const auto& file : std::filesystem::directory_iterator(LogFolder())) {
    if (file.path().extension() != ".log") continue;
    std::ifstream log(file.path());
    for (std::string line; std::getline(log, line);) {
      const auto open = line.find("event=stopped open_requests=");
      const bool cut = open != std::string::npos &&
                       line.find("open_requests=0", open) == std::string::npos;
      if (cut || line.find("event=call_cut") != std::string::npos) {
        Report("cut: " + file.path().filename().string() + ": " + line);
      }
    }
  }
}

void SoakRun::CheckRuns() {
  for (const auto& worker : deployment_.workers) {
    for (const std::string& violation : worker->violations) {
      Report("run: " + violation);
    }
  }
  for (const auto& [job, submitted] : ledger_.Jobs()) {
    CheckRunsOfJob(job, submitted);
  }
}

void SoakRun::CheckRunsOfJob(const std::string& job,
                             const SubmittedJob& submitted) {
  for (int i = 0; i < submitted.tasks; ++i) {
    const std::string task = job + ".0.0." + std::to_string(i);
    const auto found = deployment_.histories.find(task);
    const bool started = found != deployment_.histories.end() &&
                         found->second.starts_accepted > 0;
    if (submitted.reply == SubmittedJob::Reply::kRefused && started) {
      Report("refused: " + task + " ran though its job was refused");
    }
    if (submitted.reply != SubmittedJob::Reply::kAccepted ||
        submitted.cancelled) {
      continue;
    }
    const int done = started ? found->second.runs_done : 0;
    // While a VM's owner is killed or frozen, or the store away, the VM's lease
    // may be lost with ends that nobody has read; these runs are repeated.
    const bool may_repeat = !plan_.planned_only;
    if (done == 1 || (may_repeat && done > 1)) continue;
    Report("done: " + task + " was done " + std::to_string(done) + " times");
  }
}

void SoakRun::CheckShare() {
  if (!plan_.keeps_some) return;
  if (ledger_.Served() * 100 >= ledger_.Requests() * kMinServedPercent) return;
  Report("share: " + std::to_string(ledger_.Served()) + " of " +
         std::to_string(ledger_.Requests()) + " requests served");
}

std::string SoakRun::Summary() const {
  std::string text = "seed " + std::to_string(plan_.seed) +
                     (plan_.planned_only ? " planned" : " faults") +
                     (plan_.keeps_some ? "" : " unlimited") + ": entries " +
                     std::to_string(plan_.entries) + ", cells " +
                     std::to_string(plan_.cells) + ", stops " +
                     std::to_string(operator_.Stops()) + ", requests " +
                     std::to_string(ledger_.Requests()) + ", served " +
                     std::to_string(ledger_.Served()) + ", jobs " +
                     std::to_string(ledger_.Jobs().size()) + ", cut " +
                     std::to_string(ledger_.Cuts().size()) + ", attempts";
  for (const auto& [status, count] : ledger_.Attempts()) {
    text += " " + std::to_string(status) + ":" + std::to_string(count);
  }
  text += ", p50 " + std::to_string(ledger_.ServedWithin(50).count) + " p99 " +
          std::to_string(ledger_.ServedWithin(99).count) + " max " +
          std::to_string(ledger_.ServedWithin(100).count) + " ms";
  return text + ", findings " + std::to_string(findings_.size());
}

}  // namespace basilspur::soak
