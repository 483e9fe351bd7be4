#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr char kJob[] = "00000000000000aa";
static const TaskRef kTask{kJob, 0, 0, 0};
static constexpr int kSecondTerm = 17;
static constexpr int kThirdTerm = 33;
static constexpr int kFourthTerm = 49;

static void Report(Scheduler& scheduler, const std::string& vm, Millis now,
                   std::vector<RunningRunReport> running,
                   std::vector<EndedRunReport> ended = {}) {
  VmReport report;
  report.clock_ms = now.count;
  report.running = std::move(running);
  report.ended = std::move(ended);
  scheduler.NextDeadline(vm, now);
  scheduler.OnReport(vm, report, now, now);
}

static RunningRunReport MakeRunning(int run) {
  RunningRunReport row;
  row.task = kTask;
  row.run = run;
  return row;
}

TEST_CASE(
    "an end counts although the journal lists two VMs of earlier owners for "
    "its task") {
  SchedulerFixture fixture;
  fixture.AddVm("a");
  fixture.AddVm("b");
  fixture.Accept(kJob,
                 SchedulerFixture::MakeJob({SchedulerFixture::MakeStep(1, 1)}));
  const std::vector<RunCommand> first = fixture.PlanAndConfirm();
  REQUIRE(first.size() == 1);
  fixture.Flush();
  const std::string other = first[0].vm == "a" ? "b" : "a";

  // The owner of the second term started a run that is in no record. That of
  // the third term finds it, and records it beside the first run.
  const std::unique_ptr<Scheduler> third = fixture.TakeOver(kThirdTerm);
  Report(*third, other, fixture.now, {MakeRunning(kSecondTerm)});
  for (const JournalEntry& entry : third->TakeBatch(fixture.wall_ms).entries)
    fixture.journal[entry.key] = entry.value;

  const std::unique_ptr<Scheduler> fourth = fixture.TakeOver(kFourthTerm);
  Report(*fourth, other, fixture.now, {},
         {SchedulerFixture::MakeEnd(1, kTask, kSecondTerm, RunEnd::kDone)});
  fourth->OnDurable(fourth->TakeBatch(fixture.wall_ms));
  CHECK(fourth->VisibleStateOf(kJob) == VisibleJobState::kDone);
}

TEST_CASE(
    "a run that belongs to no task is charged until it has stopped, also while "
    "the VM lists it neither as running nor as ended") {
  SchedulerFixture fixture;
  fixture.AddVm("a");
  fixture.Report("a", {MakeRunning(1)});
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  // The stop command has been confirmed; stopping takes up to 900 ms.
  fixture.Report("a", {});
  fixture.Accept("other", SchedulerFixture::MakeJob(
                              {SchedulerFixture::MakeStep(1, 16'000)}));
  CHECK(fixture.Plan().empty());
}
