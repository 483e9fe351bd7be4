// Tests of a cell of real processes under faults of processes, VMs and the
// platform. They guard against jobs that are lost, run again without need or
// run twice at the same time, and against requests and operators' commands that
// fail although they could be served. What ran is read from the ledgers of the
// stand-ins.
#include <signal.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "system/cell.h"

using basilspur::system_test::Cell;
using basilspur::system_test::Eventually;
using basilspur::system_test::ProcessResult;

static void Sleep(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

static ProcessResult CreateJob(Cell& cell, const std::string& id,
                               const std::string& command,
                               std::size_t entry = 0) {
  return cell.RunOperatorCommand({"job", "create", id, "--command", command,
                                  "--cpu", "1000", "--memory", "1000"},
                                 entry);
}

static int CountOccurrences(const std::string& text,
                            const std::string& pattern) {
  int count = 0;
  for (std::size_t offset = text.find(pattern); offset != std::string::npos;
       offset = text.find(pattern, offset + 1)) {
    ++count;
  }
  return count;
}

static bool WaitUntilStarted(Cell& cell, const std::string& job) {
  return Eventually([&] { return cell.CountEvents(job, "start") > 0; });
}

/// Creates jobs and waits until all of them run. Returns their ids.
static std::vector<std::string> StartJobs(Cell& cell, int count,
                                          const std::string& command) {
  std::vector<std::string> jobs;
  for (int i = 0; i < count; ++i) {
    jobs.push_back("job-" + std::to_string(i));
    REQUIRE(CreateJob(cell, jobs.back(), command).exit_code == 0);
  }
  for (const auto& job : jobs) REQUIRE(WaitUntilStarted(cell, job));
  return jobs;
}

TEST_CASE("an entry is killed while its runs hold leases") {
  Cell cell(3, 2, 1);
  cell.PutService("reports");
  const std::vector<std::string> jobs = StartJobs(cell, 6, "work 6000");
  cell.entries[1].process->Signal(SIGKILL);
  for (const auto& job : jobs) {
    REQUIRE(Eventually([&] { return cell.PhaseOf(job) == "finished"; }));
    CHECK(cell.CountEvents(job, "finish") == 1);
    CHECK(cell.CountEvents(job, "start") == 1);
  }
  CHECK(cell.FindJobWithOverlappingRuns() == "");
  const auto response = cell.Call(cell.entries[2].callers_address, "GET", "/x",
                                  {{"Host", "reports"}});
  CHECK(response.status == 200);
}

TEST_CASE("an entry is paused until its leases have expired and then resumes") {
  Cell cell(3, 2, 1);
  const std::vector<std::string> jobs = StartJobs(cell, 4, "work 12000");
  cell.entries[2].process->Signal(SIGSTOP);
  Sleep(7'000);  // More than two lease lengths of 3 s.
  cell.entries[2].process->Signal(SIGCONT);
  for (const auto& job : jobs) {
    REQUIRE(Eventually([&] { return cell.PhaseOf(job) == "finished"; }));
    CHECK(cell.CountEvents(job, "finish") == 1);
  }
  CHECK(cell.FindJobWithOverlappingRuns() == "");
}

TEST_CASE("the log is down for longer than a lease") {
  Cell cell(3, 2, 2);
  cell.PutService("reports");
  REQUIRE(CreateJob(cell, "job-1", "work 9000").exit_code == 0);
  REQUIRE(WaitUntilStarted(cell, "job-1"));
  cell.ControlPlatform("/control/log?down=1");
  Sleep(1'500);
  // Changes by operators are rejected at once, with the message that nothing
  // was changed.
  const ProcessResult rejected =
      cell.RunOperatorCommand({"config", "put", "k", "v"}, 0);
  CHECK(rejected.exit_code == 3);
  CHECK(rejected.output.find("nothing was changed") != std::string::npos);
  for (const auto& entry : cell.entries) {
    const auto response =
        cell.Call(entry.callers_address, "GET", "/x", {{"Host", "reports"}});
    CHECK(response.status == 200);
  }
  Sleep(8'000);
  cell.ControlPlatform("/control/log?down=0");
  REQUIRE(Eventually([&] { return cell.PhaseOf("job-1") == "finished"; }));
  CHECK(cell.CountEvents("job-1", "start") == 1);
  CHECK(cell.CountEvents("job-1", "expire") == 0);
  const ProcessResult accepted =
      cell.RunOperatorCommand({"config", "put", "k", "v", "--wait"}, 1);
  CHECK(accepted.exit_code == 0);
}

TEST_CASE("an entry is killed while the log is down") {
  Cell cell(3, 3, 1);
  const std::vector<std::string> jobs = StartJobs(cell, 6, "work 15000");
  // During the outage, the standbys renew the leases of the killed entry's
  // runs. A standby has to be recorded in the log, so each VM needs one before.
  REQUIRE(Eventually([&] {
    const std::string status =
        cell.RunOperatorCommand({"vm", "list", "--json"}).output;
    return CountOccurrences(status, "\"standby\": \"entry-") == 3;
  }));
  cell.ControlPlatform("/control/log?down=1");
  cell.entries[1].process->Signal(SIGKILL);
  Sleep(8'000);  // More than two lease lengths of 3 s.
  CHECK(cell.Call(cell.entries[0].status_address, "GET", "/healthz").status ==
        200);
  for (const auto& job : jobs) CHECK(cell.CountEvents(job, "expire") == 0);
  cell.ControlPlatform("/control/log?down=0");
  for (const auto& job : jobs) {
    REQUIRE(Eventually([&] { return cell.PhaseOf(job) == "finished"; }));
    CHECK(cell.CountEvents(job, "start") == 1);
  }
  CHECK(cell.FindJobWithOverlappingRuns() == "");
}

TEST_CASE("appends take effect but their responses are lost") {
  Cell cell(3, 2, 1);
  cell.ControlPlatform("/control/log?lose=1");
  REQUIRE(CreateJob(cell, "job-1", "work 300").exit_code == 0);
  REQUIRE(Eventually([&] { return cell.PhaseOf("job-1", 1) == "finished"; }));
  cell.ControlPlatform("/control/log?lose=0");
  CHECK(cell.CountEvents("job-1", "start") == 1);
  CHECK(CreateJob(cell, "job-1", "work 300", 2).exit_code == 5);
}

TEST_CASE(
    "a VM crashes and is unlisted, and its job resumes from the checkpoint") {
  Cell cell(3, 2, 1);
  REQUIRE(CreateJob(cell, "job-1", "work 6000").exit_code == 0);
  REQUIRE(WaitUntilStarted(cell, "job-1"));
  Sleep(2'500);
  const std::string vm = cell.Ledger().front().vm;
  const std::size_t index = vm == "vm-0" ? 0 : 1;
  cell.Call(cell.worker_addresses[index], "GET", "/control?crash=1&cut=1");
  cell.ControlPlatform("/control/gone?name=" + vm);
  REQUIRE(Eventually([&] { return cell.PhaseOf("job-1") == "finished"; }));
  CHECK(cell.FindJobWithOverlappingRuns() == "");
  const auto ledger = cell.Ledger();
  CHECK(ledger.back().type == "finish");
  CHECK(ledger.back().vm != vm);
  std::int64_t resumed_at = 0;
  for (const auto& event : ledger) {
    if (event.type == "start" && event.vm != vm) resumed_at = event.progress_ms;
  }
  CHECK(resumed_at > 0);
}

TEST_CASE("a worker is alive but unreachable") {
  Cell cell(3, 2, 1);
  REQUIRE(CreateJob(cell, "job-1", "work 8000").exit_code == 0);
  REQUIRE(WaitUntilStarted(cell, "job-1"));
  const std::size_t index = cell.Ledger().front().vm == "vm-0" ? 0 : 1;
  cell.Call(cell.worker_addresses[index], "GET", "/control?cut=1");
  REQUIRE(Eventually([&] { return cell.PhaseOf("job-1") == "finished"; }));
  CHECK(cell.FindJobWithOverlappingRuns() == "");
  CHECK(cell.CountEvents("job-1", "finish") == 1);
  CHECK(cell.CountEvents("job-1", "expire") == 1);
}

TEST_CASE("a rack with two workers and an entry fails") {
  Cell cell(3, 4, 1);
  const std::vector<std::string> jobs = StartJobs(cell, 8, "work 6000");
  cell.entries[2].process->Signal(SIGKILL);
  for (const char* vm : {"vm-0", "vm-1"}) {
    const auto index = static_cast<std::size_t>(vm[3] - '0');
    cell.Call(cell.worker_addresses[index], "GET", "/control?crash=1&cut=1");
    cell.ControlPlatform(std::string("/control/gone?name=") + vm);
  }
  cell.ControlPlatform("/control/gone?name=vm-of-entry-2");
  for (const auto& job : jobs) {
    REQUIRE(Eventually([&] { return cell.PhaseOf(job) == "finished"; }));
    CHECK(cell.CountEvents(job, "finish") == 1);
  }
  CHECK(cell.FindJobWithOverlappingRuns() == "");
}

TEST_CASE("the log is slow, and then slower than the time-out of its calls") {
  Cell cell(3, 2, 1);
  cell.PutService("reports");
  REQUIRE(CreateJob(cell, "before", "work 20000").exit_code == 0);
  REQUIRE(WaitUntilStarted(cell, "before"));
  cell.ControlPlatform("/control/log?delay_ms=500");
  REQUIRE(CreateJob(cell, "slow", "work 1000").exit_code == 0);
  REQUIRE(Eventually([&] { return cell.PhaseOf("slow") == "finished"; }));
  // Each call takes effect only after it has timed out at the entry: the
  // entries' time-out is 2 s by default.
  cell.ControlPlatform("/control/log?delay_ms=3000");
  const auto response = cell.Call(cell.entries[0].callers_address, "GET", "/x",
                                  {{"Host", "reports"}});
  CHECK(response.status == 200);
  CreateJob(cell, "too-slow", "work 1000", 1);
  cell.ControlPlatform("/control/log?delay_ms=0");
  REQUIRE(Eventually([&] {
    return CreateJob(cell, "too-slow", "work 1000", 1).exit_code != 3;
  }));
  REQUIRE(Eventually([&] { return cell.PhaseOf("too-slow") == "finished"; }));
  REQUIRE(Eventually([&] { return cell.PhaseOf("before") == "finished"; }));
  for (const char* job : {"before", "slow", "too-slow"}) {
    CHECK(cell.CountEvents(job, "start") == 1);
    CHECK(cell.CountEvents(job, "finish") == 1);
  }
}

TEST_CASE("a change based on an outdated version is rejected") {
  Cell cell(3, 1, 1);
  REQUIRE(cell.RunOperatorCommand({"config", "put", "key", "first", "--wait"})
              .exit_code == 0);
  const ProcessResult config_list =
      cell.RunOperatorCommand({"config", "list", "key", "--json"}, 1);
  const std::string key = "\"version\": \"";
  const std::size_t offset = config_list.output.find(key) + key.size();
  const std::string version = config_list.output.substr(
      offset, config_list.output.find('"', offset) - offset);
  std::vector<ProcessResult> results(2);
  std::thread first_writer([&] {
    results[0] = cell.RunOperatorCommand(
        {"config", "put", "key", "a", "--base-version", version});
  });
  first_writer.join();
  results[1] = cell.RunOperatorCommand(
      {"config", "put", "key", "b", "--base-version", version}, 1);
  CHECK(results[0].exit_code == 0);
  CHECK(results[1].exit_code == 5);
  CHECK(results[1].output.find("version " + version) != std::string::npos);
  CHECK(results[1].output.find("current version") != std::string::npos);
  const ProcessResult audit = cell.RunOperatorCommand({"audit", "list"}, 2);
  CHECK(audit.output.find("based on version") != std::string::npos);
}

TEST_CASE("a job that slows a service down is throttled") {
  Cell cell(3, 1, 1);
  REQUIRE(cell.RunOperatorCommand({"service", "put", "reports", "--target",
                                   cell.executor_addresses[0] + "/8/vm-0",
                                   "--wait"})
              .exit_code == 0);
  REQUIRE(CreateJob(cell, "noisy", "work 60000 slows 3").exit_code == 0);
  REQUIRE(
      Eventually([&] { return cell.CountEvents("noisy", "throttle") > 0; }));
  REQUIRE(cell.RunOperatorCommand({"job", "cancel", "noisy"}).exit_code == 0);
  REQUIRE(Eventually([&] { return cell.PhaseOf("noisy") == "cancelled"; }));
  CHECK(cell.CountEvents("noisy", "start") == 1);
}

TEST_CASE(
    "a job that exceeds its VM's memory resumes once with enough capacity") {
  Cell cell(3, 2, 1);
  for (const char* job : {"a", "b"}) {
    REQUIRE(CreateJob(cell, job, "work 60000").exit_code == 0);
    REQUIRE(WaitUntilStarted(cell, job));
  }
  // Each VM has 8000 MiB. The job declares 1000 MiB but uses 7500 MiB, too much
  // for a VM that it shares with a run of 1000 MiB.
  REQUIRE(CreateJob(cell, "grows", "work 4000 uses 1000 7500").exit_code == 0);
  REQUIRE(Eventually([&] { return cell.CountEvents("grows", "stop") == 1; }));
  REQUIRE(Eventually([&] { return cell.PhaseOf("grows") == "waiting"; }));
  REQUIRE(cell.RunOperatorCommand({"job", "cancel", "a"}).exit_code == 0);
  REQUIRE(Eventually([&] { return cell.PhaseOf("grows") == "finished"; }));
  CHECK(cell.CountEvents("grows", "start") == 2);
  CHECK(cell.CountEvents("grows", "finish") == 1);
  CHECK(cell.FindJobWithOverlappingRuns() == "");
}

TEST_CASE(
    "operators list the metrics of all entries while one is unreachable") {
  Cell cell(2, 1, 1);
  cell.PutService("reports");
  cell.Call(cell.entries[0].callers_address, "GET", "/x",
            {{"Host", "reports"}});
  const auto top =
      cell.RunOperatorCommand({"entry", "top", "basilspur_request_seconds",
                               "--rounds", "2", "--interval-ms", "100"});
  CHECK(top.exit_code == 0);
  CHECK(top.output.find("service=\"reports\"") != std::string::npos);
  cell.entries[1].process->Signal(SIGKILL);
  const auto top_after_kill =
      cell.RunOperatorCommand({"entry", "top", "--rounds", "1"});
  CHECK(top_after_kill.exit_code == 0);
  CHECK(top_after_kill.output.find("no answer") != std::string::npos);
}

TEST_CASE("many jobs are cancelled by one command") {
  Cell cell(3, 2, 1);
  std::vector<std::string> arguments = {"job", "cancel"};
  for (int i = 0; i < 30; ++i) {
    const std::string job = "job-" + std::to_string(i);
    REQUIRE(CreateJob(cell, job, "work 60000").exit_code == 0);
    arguments.push_back(job);
  }
  REQUIRE(WaitUntilStarted(cell, "job-0"));
  REQUIRE(cell.RunOperatorCommand(arguments, 1).exit_code == 0);
  for (int i = 0; i < 30; ++i) {
    const std::string job = "job-" + std::to_string(i);
    REQUIRE(Eventually([&] { return cell.PhaseOf(job) == "cancelled"; }));
  }
  int running_tasks = 0;
  for (const auto& event : cell.Ledger()) running_tasks += event.RunningDelta();
  CHECK(running_tasks == 0);
}

TEST_CASE(
    "all entries restart from a log that has discarded its oldest entries") {
  Cell cell(3, 2, 1, "snapshot_records: 20, snapshot_interval_ms: 1000");
  cell.PutService("reports");
  REQUIRE(cell.RunOperatorCommand({"config", "put", "key", "kept", "--wait"})
              .exit_code == 0);
  REQUIRE(CreateJob(cell, "job-1", "work 15000").exit_code == 0);
  REQUIRE(WaitUntilStarted(cell, "job-1"));
  cell.ControlPlatform("/control/log?retention=60");
  for (int i = 0; i < 40; ++i) {
    cell.RunOperatorCommand({"config", "put", "filler", std::to_string(i)});
  }
  for (auto& entry : cell.entries) entry.process->Signal(SIGKILL);
  for (std::size_t i = 0; i < cell.entries.size(); ++i) cell.StartEntry(i);
  for (std::size_t i = 0; i < cell.entries.size(); ++i) cell.WaitUntilReady(i);
  const ProcessResult config =
      cell.RunOperatorCommand({"config", "list", "key"}, 2);
  CHECK(config.output.find("kept") != std::string::npos);
  REQUIRE(Eventually([&] { return cell.PhaseOf("job-1") == "finished"; }));
  CHECK(cell.CountEvents("job-1", "finish") == 1);
  CHECK(cell.FindJobWithOverlappingRuns() == "");
  const auto response = cell.Call(cell.entries[0].callers_address, "GET", "/x",
                                  {{"Host", "reports"}});
  CHECK(response.status == 200);
}
