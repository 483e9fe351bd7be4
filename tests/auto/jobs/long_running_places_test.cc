#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');
static constexpr Millis kTurn(200);
/// In which several short runs end on each VM.
static constexpr int kTurns = 30;

static JobSpec MakeLongRunning(int count, std::int64_t cpu_millis) {
  StepSpec step = SchedulerFixture::MakeStep(count, cpu_millis);
  step.long_running = true;
  return SchedulerFixture::MakeJob({step});
}

/// VMs whose short runs end one after the other, while new short jobs of four
/// cores arrive that would fill them at once.
class BusyCell : public SchedulerFixture {
 public:
  explicit BusyCell(int vms) {
    for (int i = 0; i < vms; ++i) AddVm("vm" + std::to_string(i));
  }

  void SubmitShort() {
    Accept("b" + std::to_string(1'000 + jobs_++),
           MakeJob({MakeStep(1, 4'000)}));
  }

  void Start() {
    for (const RunCommand& command : PlanAndConfirm()) {
      if (command.kind == RunCommandKind::kStart)
        running_[command.vm].push_back(command);
    }
    Flush();
  }

  /// On each VM the oldest short run ends, and as many short jobs arrive.
  void RunTurn() {
    now = now + kTurn;
    for (auto& [vm, runs] : running_) {
      std::vector<EndedRunReport> ended;
      for (auto it = runs.begin(); it != runs.end(); ++it) {
        if (it->task.job.front() != 'b') continue;
        ended.push_back(MakeEnd(++ends_[vm], it->task, it->run, RunEnd::kDone));
        runs.erase(it);
        SubmitShort();
        break;
      }
      std::vector<RunningRunReport> rows;
      for (const RunCommand& run : runs)
        rows.push_back({run.task, run.run, "", 100, 0});
      Report(vm, rows, ended);
    }
    Start();
  }

  int CountRunning(const std::string& job) const {
    int count = 0;
    for (const auto& [vm, runs] : running_) {
      for (const RunCommand& run : runs) count += run.task.job == job ? 1 : 0;
    }
    return count;
  }

 private:
  std::map<std::string, std::vector<RunCommand>> running_;
  std::map<std::string, int> ends_;
  int jobs_ = 0;
};

/// Guards against a VM that is kept for a task which may not run there.
TEST_CASE(
    "a long-running task waits for a VM that already has one of its step") {
  BusyCell cell(2);
  JobSpec spec = MakeLongRunning(2, 6'000);
  spec.steps[0].max_per_vm = 1;
  // The first task leaves more free processors beside it than short runs do on
  // the other VM.
  for (int i = 0; i < 4; ++i) cell.SubmitShort();
  cell.Start();
  for (int i = 0; i < 4; ++i) cell.SubmitShort();
  cell.Accept(kJob, spec);
  cell.Start();
  for (int i = 0; i < kTurns && cell.CountRunning(kJob) < 2; ++i)
    cell.RunTurn();
  CHECK(cell.CountRunning(kJob) == 2);
}

/// Guards against long-running tasks that wait for room one after the other.
TEST_CASE("of several long-running tasks only one gets a reserved VM") {
  BusyCell cell(4);
  for (int i = 0; i < 20; ++i) cell.SubmitShort();
  cell.Start();
  cell.Accept(kJob, MakeLongRunning(4, 12'000));
  // Of four runs of a VM three have to end.
  for (int i = 0; i < 5; ++i) cell.RunTurn();
  CHECK(cell.CountRunning(kJob) == 4);
}

/// Guards against hosted tasks that wait behind all jobs of the host's cell.
TEST_CASE("a hosted long-running task waits behind started short jobs") {
  BusyCell cell(1);
  StepSpec wide = SchedulerFixture::MakeStep(60, 4'000);
  cell.Accept("b", SchedulerFixture::MakeJob({wide}));
  cell.Start();
  Delegation delegation;
  delegation.job = kJob;
  delegation.record.spec = MakeLongRunning(1, 4'000);
  delegation.record.queue = cell.queue.name;
  delegation.record.service = cell.queue.service;
  delegation.record.home_cell = 1;
  DelegatedTask& task = delegation.tasks.emplace_back();
  task.number = 1;
  cell.wall_ms += kTurn.count;
  cell.scheduler.Host(delegation, cell.wall_ms, cell.now);
  cell.Flush();
  cell.RunTurn();
  CHECK(cell.CountRunning(kJob) == 1);
}

/// Guards against a turn that is lost by moving to another full cell.
TEST_CASE("a task leaves its cell although a VM is reserved for it") {
  BusyCell cell(1);
  for (int i = 0; i < 8; ++i) cell.SubmitShort();
  cell.Start();
  cell.Accept(kJob, MakeLongRunning(1, 12'000));
  cell.Start();
  for (int i = 0; i < 5; ++i) {
    cell.now = cell.now + kTurn;
    cell.Start();
    CHECK(cell.scheduler.TasksToDelegate(cell.now).empty());
  }
}

/// Guards against a host that keeps a task for which it will have no room.
TEST_CASE("a host without room for a long-running task keeps it") {
  BusyCell cell(1);
  cell.Accept(std::string(16, 'c'), MakeLongRunning(1, 10'000));
  cell.Start();
  Delegation delegation;
  delegation.job = kJob;
  delegation.record.spec = MakeLongRunning(1, 12'000);
  delegation.record.queue = cell.queue.name;
  delegation.record.service = cell.queue.service;
  delegation.record.home_cell = 1;
  delegation.tasks.emplace_back().number = 1;
  cell.scheduler.Host(delegation, cell.wall_ms, cell.now);
  cell.Flush();
  for (int i = 0; i < 3; ++i) cell.RunTurn();
  const DelegationReport report =
      cell.scheduler.Host(delegation, cell.wall_ms, cell.now);
  REQUIRE(report.tasks.size() == 1);
  CHECK(report.tasks[0].state == DelegationState::kReturned);
}
