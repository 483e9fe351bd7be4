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

  /// Starts reporting the listed VMs and changes. Does nothing if it has been
  /// started.
  virtual void Start(Callbacks callbacks) = 0;
  /// Stops reporting. After another start, all VMs are reported anew, and those
  /// that were removed meanwhile are not reported as unlisted.
  virtual void Stop() = 0;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_DIRECTORY_H_
