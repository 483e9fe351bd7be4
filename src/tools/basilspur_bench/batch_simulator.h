#ifndef BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_SIMULATOR_H_
#define BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_SIMULATOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "batch_scenario.h"
#include "records/specs.h"

namespace basilspur::bench {

/// Simulates what the scheduler can't observe directly: the durations of jobs,
/// their actual usage, and how much they slow services down. The reports of
/// workers about it are delayed, and the slowdown in them is noisy.
class BatchSimulator {
 public:
  /// A measurement that a worker reports.
  struct Report {
    std::string vm;
    Millis measured_at;
    double slowdown = 1;
    std::map<records::RunRef, records::Resources> usage;
  };

  explicit BatchSimulator(const BatchScenario& scenario);

  /// Generates the jobs that arrive in the second that ends at `now`.
  std::vector<records::JobSpec> GenerateArrivals(Millis now);

  void StartRun(const records::RunRef& run, const std::string& vm);
  /// Stops a run. The next run of the job continues from its progress.
  void StopRun(const records::RunRef& run);
  void SetThrottled(const records::RunRef& run, bool throttled);

  /// Advances the simulation by one second; returns the runs that finished.
  std::vector<records::RunRef> Step(Millis now);

  /// Removes and returns the reports that have reached the scheduler by now.
  std::vector<Report> TakeDueReports(Millis now);

  /// Samples the answer latencies of all services in the current second, in
  /// milliseconds.
  std::vector<double> SampleLatencies();

  /// Counts the VMs whose actual memory usage exceeds their capacity.
  int CountVmsOverMemory() const;

  /// Processor time that the job takes, without the cost of restarts.
  double CoreSecondsOf(const std::string& job) const {
    return jobs_.at(job).core_seconds;
  }

  static std::string VmName(int index);
  static std::string ServiceName(int vm_index);

 private:
  struct SimulatedJob {
    std::string kind;
    records::Resources actual_usage;
    double core_seconds = 0;
    double remaining_seconds = 0;
  };
  struct Run {
    std::string vm;
    bool throttled = false;
  };

  records::JobSpec MakeJob(const std::string& kind);
  double SlowdownOf(const std::string& vm) const;
  double LoadFactorOf(const std::string& service) const;

  const BatchScenario scenario_;
  /// Separate generators, so that jobs and interference weights are the same
  /// under all policies.
  Random arrival_rng_;
  Random report_rng_;
  Random latency_rng_;
  /// Interference weights, by service and kind of job.
  std::map<std::string, std::map<std::string, double>> interference_weights_;
  std::map<std::string, SimulatedJob> jobs_;
  std::map<records::RunRef, Run> runs_;
  std::map<std::string, std::vector<records::RunRef>> runs_on_vm_;
  /// Reports in transit, with the time at which they reach the scheduler.
  std::deque<std::pair<Millis, Report>> delayed_reports_;
  Millis now_;
  int created_jobs_ = 0;
  int remaining_wave_jobs_ = 0;
  std::string wave_kind_;
};

}  // namespace basilspur::bench

#endif  // BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_SIMULATOR_H_
