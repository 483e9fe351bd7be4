#ifndef BASILSPUR_JOBS_SILENT_VM_H_
#define BASILSPUR_JOBS_SILENT_VM_H_

#include <string>

#include "base/clock.h"

namespace basilspur::jobs {

/// A VM that does not answer its owner, and how long its lease may still hold.
///
/// Thread safety: a plain value.
struct SilentVm {
  std::string vm;
  Millis lapse;  ///< When no run can be at work there, on the owner's clock.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_SILENT_VM_H_
