#ifndef BASILSPUR_PLAN_BENCH_STEP_BENCH_H_
#define BASILSPUR_PLAN_BENCH_STEP_BENCH_H_

namespace basilspur::plan_bench {

/// Measures the plans in which a job with many tasks is placed, and the ones
/// after that, for steps of several forms and sizes. Prints a line for each.
/// Sizes with more tasks or VMs than these are left out.
void MeasureLargeSteps(int most_tasks, int most_vms);

}  // namespace basilspur::plan_bench

#endif  // BASILSPUR_PLAN_BENCH_STEP_BENCH_H_
