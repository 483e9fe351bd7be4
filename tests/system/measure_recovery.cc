// Measures how long it takes until a change is in force, until jobs run again
// after an outage of the log, and until an entry has started. Uses real
// processes, prints the results and checks nothing, so it is not a test.
#include <signal.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "records/codec.h"
#include "records/record.h"
#include "system/cell.h"

using basilspur::system_test::Cell;
using basilspur::system_test::Eventually;

namespace records = basilspur::records;

using SteadyClock = std::chrono::steady_clock;

static double MillisSince(SteadyClock::time_point start) {
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - start)
      .count();
}

/// Returns -1 if the condition does not hold in time.
static double MeasureMillisUntil(const std::function<bool()>& condition) {
  const auto start = SteadyClock::now();
  if (!Eventually(condition)) return -1;
  return MillisSince(start);
}

static void Sleep(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// Returns the time from the command that publishes a new service until every
/// entry serves requests for it.
static double MeasureServicePropagationMillis(Cell& cell,
                                              const std::string& name) {
  const auto start = SteadyClock::now();
  cell.RunOperatorCommand(
      {"service", "put", name, "--target", cell.executor_addresses[0] + "/8"});
  Eventually([&] {
    return std::all_of(
        cell.entries.begin(), cell.entries.end(), [&](const auto& entry) {
          return cell.Call(entry.callers_address, "GET", "/x", {{"Host", name}})
                     .status == 200;
        });
  });
  return MillisSince(start);
}

static void MeasureServicePropagation() {
  constexpr int kEntries = 9;
  constexpr int kServices = 20;
  Cell cell(kEntries, 0, 1);
  std::vector<double> times_ms;
  for (int i = 0; i < kServices; ++i) {
    times_ms.push_back(
        MeasureServicePropagationMillis(cell, "service-" + std::to_string(i)));
  }
  std::sort(times_ms.begin(), times_ms.end());
  std::printf(
      "new service, from the command to responses from all %d entries: median "
      "%.0f ms, maximum of %d services %.0f ms\n",
      kEntries, times_ms[times_ms.size() / 2], kServices, times_ms.back());
}

static void MeasureLogOutage(int seconds) {
  Cell cell(3, 2, 1);
  const auto create_job = [&](const std::string& id) {
    return cell
        .RunOperatorCommand({"job", "create", id, "--command", "work 1000",
                             "--cpu", "1000", "--memory", "1000"})
        .exit_code;
  };
  create_job("before");
  Eventually([&] { return cell.PhaseOf("before") == "finished"; });
  cell.ControlPlatform("/control/log?down=1");
  Sleep(seconds * 1'000);
  cell.ControlPlatform("/control/log?down=0");
  const auto start = SteadyClock::now();
  const double accepted_ms =
      MeasureMillisUntil([&] { return create_job("after") == 0; });
  Eventually([&] { return cell.CountEvents("after", "start") == 1; });
  std::printf(
      "after a log outage of %d s: job accepted after %.0f ms, running after "
      "%.0f ms\n",
      seconds, accepted_ms, MillisSince(start));
}

/// Appends jobs to the log as an entry would. They stay in the waiting phase,
/// because they require more memory than any VM has.
static void AppendWaitingJobs(Cell& cell, int job_count) {
  constexpr int kJobsPerAppend = 500;
  std::int64_t sequence = 0;
  records::RecordBatch batch;
  const auto add_record = [&](records::RecordBody body) {
    records::Record record{"cell-0", {"loader", 1}, ++sequence, 0, "", {}};
    record.body = std::move(body);
    batch.records.push_back(std::move(record));
  };
  const auto append_batch = [&] {
    const records::Bytes bytes = records::Encode(batch);
    cell.Call(cell.platform_address, "POST", "/log/cell-0", {},
              std::string(bytes.begin(), bytes.end()));
    batch.records.clear();
  };
  add_record(records::EntryJoined{});
  for (int i = 0; i < job_count; ++i) {
    records::JobSpec spec;
    spec.id = "job-" + std::to_string(i);
    spec.command = "work 1";
    spec.resources = {1'000, 1'000'000, 0};
    add_record(records::JobAccepted{spec});
    if (i % kJobsPerAppend == 0) append_batch();
  }
  add_record(records::EntryEnded{{"loader", 1}});
  append_batch();
}

static void MeasureEntryStart(int job_count) {
  Cell cell(3, 1, 1, "snapshot_records: 50, snapshot_interval_ms: 1000");
  cell.PutService("reports");
  AppendWaitingJobs(cell, job_count);
  Sleep(2'000);
  cell.entries[2].process->Signal(SIGKILL);
  cell.entries[2].process->Wait();
  const auto start = SteadyClock::now();
  cell.StartEntry(2);
  Eventually([&] {
    return cell.Call(cell.entries[2].callers_address, "GET", "/x",
                     {{"Host", "reports"}})
               .status == 200;
  });
  const double first_response_ms = MillisSince(start);
  cell.WaitUntilReady(2);
  std::printf(
      "entry start with %d waiting jobs in the state: first response after "
      "%.0f ms, ready after %.0f ms\n",
      job_count, first_response_ms, MillisSince(start));
}

static void MeasureLeavingVm() {
  Cell cell(2, 1, 1);
  cell.RunOperatorCommand({"service", "put", "reports", "--target",
                           cell.executor_addresses[0] + "/8/vm-0", "--wait"});
  cell.ControlPlatform(
      "/control/vm?name=vm-0&worker=" + cell.worker_addresses[0] +
      "&rack=r&dc=moss&cpu=4000&memory=8000&leaving=1");
  const double stopped_ms = MeasureMillisUntil([&] {
    return std::all_of(cell.entries.begin(), cell.entries.end(),
                       [&](const auto& entry) {
                         return cell.Call(entry.callers_address, "GET", "/x",
                                          {{"Host", "reports"}})
                                    .status != 200;
                       });
  });
  std::printf(
      "target on a VM listed as leaving (list polled every 200 ms): no "
      "requests from any entry after %.0f ms\n",
      stopped_ms);
}

int main() {
  MeasureServicePropagation();
  MeasureLeavingVm();
  for (const int seconds : {5, 30}) MeasureLogOutage(seconds);
  for (const int job_count : {1'000, 10'000, 50'000})
    MeasureEntryStart(job_count);
}
