#ifndef TESTS_AUTO_JOBS_SCHEDULER_FIXTURE_H_
#define TESTS_AUTO_JOBS_SCHEDULER_FIXTURE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

/// A scheduler with one queue, and what it would be told from outside.
class SchedulerFixture {
 public:
  SchedulerFixture();

  static StepSpec MakeStep(int count, std::int64_t cpu_millis);
  static JobSpec MakeJob(std::vector<StepSpec> steps);
  static EndedRunReport MakeEnd(std::int64_t number, const TaskRef& task,
                                int run, RunEnd end);

  /// Lists a VM of 16 cores and lets it answer, with nothing running.
  void AddVm(const std::string& id, const std::string& rack = "r1");
  /// Submits and makes durable.
  void Accept(const std::string& id, JobSpec spec);
  /// Makes durable what is not yet, and keeps it as the journal.
  void Flush();
  /// All orders of a plan now.
  std::vector<Order> Plan();
  /// Plans, and confirms each order at once.
  std::vector<Order> PlanAndConfirm();
  /// A VM's answer to a renewal that is sent now and takes 10 ms.
  void Report(const std::string& vm, std::vector<RunningRunReport> running,
              std::vector<EndedRunReport> ended = {});
  /// Confirms an order with this outcome.
  void Answer(const Order& order, OrderOutcome outcome);
  /// What a new owner knows from the journal, with the same VMs listed.
  std::unique_ptr<Scheduler> TakeOver(int first_run);

  Scheduler scheduler{SchedulerSettings{}};
  SchedulerSettings settings;
  QueueConfig queue;
  Millis now{1'000'000};
  std::int64_t wall_ms = 1'700'000'000'000;
  std::vector<VmListing> listings;
  std::map<std::string, records::Bytes> journal;
};

}  // namespace basilspur::jobs

#endif  // TESTS_AUTO_JOBS_SCHEDULER_FIXTURE_H_
