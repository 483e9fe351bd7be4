#ifndef BASILSPUR_JOBS_UNREACHABLE_VM_H_
#define BASILSPUR_JOBS_UNREACHABLE_VM_H_

#include <string>

#include "base/clock.h"

namespace basilspur::jobs {

/// A VM that does not answer its owner, and the latest expiry of its lease.
///
/// Thread safety: a plain value.
struct UnreachableVm {
  std::string vm;
  Millis lease_expiry;  ///< On the owner's clock; no run executes after it.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_UNREACHABLE_VM_H_
