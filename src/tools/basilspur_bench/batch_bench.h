#ifndef BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_BENCH_H_
#define BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_BENCH_H_

#include "batch_results.h"
#include "batch_scenario.h"

namespace basilspur::bench {

/// Simulates the placement of batch jobs: runs the cluster state and the
/// planners and pressure controllers of all entries against a simulated load.
BatchResults RunBatchScenario(const BatchScenario& scenario);

}  // namespace basilspur::bench

#endif  // BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_BENCH_H_
