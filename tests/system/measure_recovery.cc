// Measures on real processes how long changes, outages and starts take. Prints
// figures and asserts nothing; not a test.
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

static double MillisUntil(const std::function<bool()>& condition) {
  const auto start = SteadyClock::now();
  if (!Eventually(condition)) return -1;
  return MillisSince(start);
}

static void Sleep(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/// A service that no entry knows yet is answered by every entry.
static double MeasureService(Cell& cell, const std::string& name) {
  const auto start = SteadyClock::now();
  cell.Operate({"service", "put", name, "--target", cell.executors[0] + "/8"});
  Eventually([&] {
    return std::all_of(
        cell.entries.begin(), cell.entries.end(), [&](const auto& entry) {
          return cell.Call(entry.callers, "GET", "/x", {{"Host", name}})
                     .status == 200;
        });
  });
  return MillisSince(start);
}

static void MeasureConfiguration() {
  constexpr int kEntries = 9;
  constexpr int kChanges = 20;
  Cell cell(kEntries, 0, 1);
  std::vector<double> times;
  for (int i = 0; i < kChanges; ++i) {
    times.push_back(MeasureService(cell, "service-" + std::to_string(i)));
  }
  std::sort(times.begin(), times.end());
  std::printf(
      "a new service, from the command to an answer by all %d entries: median "
      "%.0f ms, worst of %d %.0f ms\n",
      kEntries, times[times.size() / 2], kChanges, times.back());
}

static void MeasureOutage(int seconds) {
  Cell cell(3, 2, 1);
  const auto create = [&](const std::string& id) {
    return cell
        .Operate({"job", "create", id, "--command", "work 1000", "--cpu",
                  "1000", "--memory", "1000"})
        .exit_code;
  };
  create("before");
  Eventually([&] { return cell.PhaseOf("before") == "finished"; });
  cell.Control("/control/log?down=1");
  Sleep(seconds * 1'000);
  cell.Control("/control/log?down=0");
  const auto start = SteadyClock::now();
  const double accepted = MillisUntil([&] { return create("after") == 0; });
  Eventually([&] { return cell.CountEvents("after", "start") == 1; });
  std::printf(
      "after %d s without the log: a job accepted in %.0f ms, running in %.0f "
      "ms\n",
      seconds, accepted, MillisSince(start));
}

/// Puts jobs that no VM can hold on the log, as an entry would.
static void LoadJobs(Cell& cell, int count) {
  constexpr int kRecordsAtOnce = 500;
  std::int64_t sequence = 0;
  records::RecordBatch batch;
  const auto add = [&](records::RecordBody body) {
    records::Record record{"cell-0", {"loader", 1}, ++sequence, 0, "", {}};
    record.body = std::move(body);
    batch.records.push_back(std::move(record));
  };
  const auto append = [&] {
    const records::Bytes bytes = records::Encode(batch);
    cell.Call(cell.platform, "POST", "/log/cell-0", {},
              std::string(bytes.begin(), bytes.end()));
    batch.records.clear();
  };
  add(records::EntryJoined{});
  for (int i = 0; i < count; ++i) {
    records::JobSpec spec;
    spec.id = "job-" + std::to_string(i);
    spec.command = "work 1";
    spec.resources = {1'000, 1'000'000, 0};
    add(records::JobAccepted{spec});
    if (i % kRecordsAtOnce == 0) append();
  }
  add(records::EntryEnded{{"loader", 1}});
  append();
}

static void MeasureStart(int jobs) {
  Cell cell(3, 1, 1, "snapshot_records: 50, snapshot_interval_ms: 1000");
  cell.PutService("reports");
  LoadJobs(cell, jobs);
  Sleep(2'000);
  cell.entries[2].process->Signal(SIGKILL);
  cell.entries[2].process->Wait();
  const auto start = SteadyClock::now();
  cell.StartEntry(2);
  Eventually([&] {
    return cell.Call(cell.entries[2].callers, "GET", "/x",
                     {{"Host", "reports"}})
               .status == 200;
  });
  const double answer = MillisSince(start);
  cell.WaitUntilReady(2);
  std::printf(
      "start with %d waiting jobs in the state: first answer after %.0f ms, "
      "ready after %.0f ms\n",
      jobs, answer, MillisSince(start));
}

static void MeasureLeaving() {
  Cell cell(2, 1, 1);
  cell.Operate({"service", "put", "reports", "--target",
                cell.executors[0] + "/8/vm-0", "--wait"});
  cell.Control("/control/vm?name=vm-0&worker=" + cell.workers[0] +
               "&rack=r&dc=moss&cpu=4000&memory=8000&leaving=1");
  const double stopped = MillisUntil([&] {
    return std::all_of(
        cell.entries.begin(), cell.entries.end(), [&](const auto& entry) {
          return cell.Call(entry.callers, "GET", "/x", {{"Host", "reports"}})
                     .status != 200;
        });
  });
  std::printf(
      "a target listed as leaving (the list is read each 200 ms): no new work "
      "from any entry after %.0f ms\n",
      stopped);
}

int main() {
  MeasureConfiguration();
  MeasureLeaving();
  for (const int seconds : {5, 30}) MeasureOutage(seconds);
  for (const int jobs : {1'000, 10'000, 50'000}) MeasureStart(jobs);
}
