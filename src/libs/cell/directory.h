#ifndef BASILSPUR_CELL_DIRECTORY_H_
#define BASILSPUR_CELL_DIRECTORY_H_

#include <functional>
#include <string>

#include "jobs/vm_listing.h"

namespace basilspur::cell {

/// The platform's list of VMs. Changes are reported with a delay.
///
/// Thread safety: only from the thread of its io_context.
class Directory {
 public:
  struct Callbacks {
    std::function<void(const jobs::VmListing& listing)> on_listed;
    std::function<void(const std::string& id)> on_unlisted;
  };

  virtual ~Directory() = default;

  /// Starts reporting the listed VMs and changes. Further calls do nothing.
  virtual void Start(Callbacks callbacks) = 0;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_DIRECTORY_H_
