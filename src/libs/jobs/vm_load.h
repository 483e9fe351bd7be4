#ifndef BASILSPUR_JOBS_VM_LOAD_H_
#define BASILSPUR_JOBS_VM_LOAD_H_

namespace basilspur::jobs {

/// What runs on a VM; determines how often the VM has to report. kMixed: tasks
/// with a tail latency target beside best-effort runs.
enum class VmLoad { kIdle, kBusy, kMixed };

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_VM_LOAD_H_
