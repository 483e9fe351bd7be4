#ifndef BASILSPUR_JOBS_UNREACHABLE_VM_H_
#define BASILSPUR_JOBS_UNREACHABLE_VM_H_

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace basilspur::jobs {

/// A VM that does not answer its owner, and the latest expiry of its lease.
///
/// Thread safety: a plain value.
struct UnreachableVm {
  std::string vm;
  Millis lease_expiry;  ///< On the owner's clock; no run executes after it.
  /// Start of the worker that holds the lease, in Unix ms; 0: unknown.
  std::int64_t worker_start_ms = 0;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_UNREACHABLE_VM_H_
