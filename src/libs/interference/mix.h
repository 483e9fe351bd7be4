#ifndef BASILSPUR_INTERFERENCE_MIX_H_
#define BASILSPUR_INTERFERENCE_MIX_H_

#include <map>
#include <string>
#include <vector>

namespace basilspur::interference {

/// The workload mix of a VM: the services and kinds of jobs that share it.
struct Mix {
  std::vector<std::string> services;  ///< Services with an executor on the VM.
  /// Share of the VM's processors that the runs of each kind of job use.
  std::map<std::string, double> shares;

  bool operator==(const Mix& other) const = default;
};

}  // namespace basilspur::interference

#endif  // BASILSPUR_INTERFERENCE_MIX_H_
