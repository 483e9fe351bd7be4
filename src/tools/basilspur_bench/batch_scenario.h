#ifndef BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_SCENARIO_H_
#define BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_SCENARIO_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "records/resources.h"

namespace basilspur::bench {

/// A simulated load of services and batch jobs that share VMs. Apart from a
/// steady stream of jobs, waves of jobs with strong interference arrive at
/// regular intervals.
struct BatchScenario {
  /// "first-fit", "first-fit-evict", "spread", "tail" or "throughput".
  std::string policy = "tail";
  int vms = 50;
  records::Resources vm_capacity{16'000, 60'000, 0};
  /// Resources that are reserved for the executor of a service on each VM.
  records::Resources per_target{6'000, 20'000, 0};
  int entries = 9;
  /// Load of the steady stream of jobs, as a fraction of the processor time
  /// that is not reserved for services.
  double load = 0.7;
  int wave_jobs = 120;  ///< Number of jobs in each wave.
  Millis wave_interval{720'000};
  Millis duration{3'600'000};
  Millis warmup{600'000};  ///< Time before measurements begin.
  std::uint64_t seed = 1;
};

}  // namespace basilspur::bench

#endif  // BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_SCENARIO_H_
