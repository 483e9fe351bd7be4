#ifndef BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_RESULTS_H_
#define BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_RESULTS_H_

#include <cstdint>

namespace basilspur::bench {

/// The results of a simulation of the placement of batch jobs, measured after
/// its warm-up.
struct BatchResults {
  /// Quantiles of the answer latency of the services, in milliseconds.
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
  /// Batch throughput: core-hours of finished jobs per hour.
  double core_hours_per_hour = 0;
  /// Mean time from the acceptance of a job to its end, in seconds.
  double mean_turnaround_s = 0;
  std::int64_t finished = 0;
  std::int64_t evictions = 0;
  /// VM-seconds in which the actual memory usage exceeded the capacity of the
  /// VM.
  std::int64_t vm_seconds_over_memory = 0;
  /// The invariants of the cluster state hold at the end, among them that no VM
  /// is charged over its capacity.
  bool invariants_hold = false;
};

}  // namespace basilspur::bench

#endif  // BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_RESULTS_H_
