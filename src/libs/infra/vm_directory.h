#ifndef BASILSPUR_INFRA_VM_DIRECTORY_H_
#define BASILSPUR_INFRA_VM_DIRECTORY_H_

#include <vector>

#include "base/result.h"
#include "records/specs.h"

namespace basilspur::infra {

/// A VM on the platform's list.
struct ListedVm {
  records::VmSpec spec;
  bool leaving = false;  ///< The platform is going to remove the VM.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.spec, self.leaving);
  }
};

/// The platform's list of live and leaving VMs. It lags behind the actual VMs.
///
/// Thread safety: one thread at a time for each object.
class VmDirectory {
 public:
  virtual ~VmDirectory() = default;

  /// Returns the complete list. Errors: kUnavailable, kTimeout, kCorrupt.
  virtual Result<std::vector<ListedVm>> List() = 0;
};

}  // namespace basilspur::infra

#endif  // BASILSPUR_INFRA_VM_DIRECTORY_H_
