#ifndef TESTS_AUTO_JOBS_SCHEDULER_FIXTURE_H_
#define TESTS_AUTO_JOBS_SCHEDULER_FIXTURE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

/// A scheduler with one queue, and stand-ins for its VMs, journal and clock.
class SchedulerFixture {
 public:
  SchedulerFixture();

  static StepSpec MakeStep(int count, std::int64_t cpu_millis);
  static JobSpec MakeJob(std::vector<StepSpec> steps);
  static EndedRunReport MakeEnd(std::int64_t number, const TaskRef& task,
                                int run, RunEnd end);

  /// Lists a VM with 16 cores, which reports that nothing runs there, and makes
  /// its record durable.
  void AddVm(const std::string& id, const std::string& rack = "r1");
  /// Submits a job and makes it durable.
  void Accept(const std::string& id, JobSpec spec);
  /// Writes the pending batch to `journal` and reports it as durable.
  void Flush();
  /// Writes a batch, of any owner, to `journal`.
  void Write(const JournalBatch& batch);
  /// Returns the commands of a plan at `now`.
  std::vector<RunCommand> Plan();
  /// Like Plan, but also confirms each command immediately.
  std::vector<RunCommand> PlanAndConfirm();
  /// Processes a VM's answer to a renewal that is sent at `now` and takes 10
  /// ms.
  void Report(const std::string& vm, std::vector<RunningRunReport> running,
              std::vector<EndedRunReport> ended = {});
  /// The VM's worker starts again under the id that it had. Its clock and its
  /// numbers of run ends start anew.
  void RestartWorker(const std::string& vm);
  /// Processes the first answers of a worker that has started again: the second
  /// one is to a call that it alone accepts. Makes what they change durable.
  void ReportNewWorker(const std::string& vm);
  /// Answers a command with this outcome.
  void Answer(const RunCommand& command, RunCommandOutcome outcome);
  /// Returns the scheduler of a new owner, restored from the journal, with the
  /// same VMs listed. Calls `before_restore` with it while its journal is still
  /// being read.
  std::unique_ptr<Scheduler> TakeOver(
      int first_run_number,
      const std::function<void(Scheduler&)>& before_restore = {});

  Scheduler scheduler{SchedulerSettings{}};
  SchedulerSettings settings;
  QueueConfig queue;
  Millis now{1'000'000};
  std::int64_t wall_ms = 1'700'000'000'000;
  std::vector<VmListing> listings;
  std::map<std::string, records::Bytes> journal;

 private:
  struct Worker {
    std::int64_t start_ms = 1'600'000'000'000;
    Millis clock_zero;
  };

  std::int64_t ClockOf(const std::string& vm) {
    return (now - workers_[vm].clock_zero).count;
  }

  std::map<std::string, Worker> workers_;
};

}  // namespace basilspur::jobs

#endif  // TESTS_AUTO_JOBS_SCHEDULER_FIXTURE_H_
