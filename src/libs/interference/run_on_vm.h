#ifndef BASILSPUR_INTERFERENCE_RUN_ON_VM_H_
#define BASILSPUR_INTERFERENCE_RUN_ON_VM_H_

#include <string>

#include "records/specs.h"

namespace basilspur::interference {

/// The properties of a run on a VM that are relevant to interference.
struct RunOnVm {
  records::RunRef run;
  std::string kind;
  double share = 0;  ///< Share of the VM's processors.
  /// The run is urgent or about to stop, so it is neither throttled nor
  /// evicted.
  bool exempt = false;
};

}  // namespace basilspur::interference

#endif  // BASILSPUR_INTERFERENCE_RUN_ON_VM_H_
