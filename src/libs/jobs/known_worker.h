#ifndef BASILSPUR_JOBS_KNOWN_WORKER_H_
#define BASILSPUR_JOBS_KNOWN_WORKER_H_

#include <cstdint>

namespace basilspur::jobs {

/// The lifetime of a VM's worker for which an owner takes the VM. A worker that
/// has started again has the same id and address.
///
/// Thread safety: a plain value.
struct KnownWorker {
  /// See VmReport::worker_start_ms; 0: unknown.
  std::int64_t start_ms = 0;
  /// Time that its clock has shown; 0: unknown.
  std::int64_t clock_ms = 0;

  /// Whether a report with this start and clock is of the same lifetime. If a
  /// start is unknown, a clock that has gone back shows another lifetime.
  bool Matches(std::int64_t report_start_ms,
               std::int64_t report_clock_ms) const {
    if (start_ms > 0 && report_start_ms > 0) return report_start_ms == start_ms;
    return report_clock_ms >= clock_ms;
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_KNOWN_WORKER_H_
