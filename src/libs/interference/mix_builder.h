#ifndef BASILSPUR_INTERFERENCE_MIX_BUILDER_H_
#define BASILSPUR_INTERFERENCE_MIX_BUILDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "interference/mix.h"
#include "state/cluster_state.h"

namespace basilspur::interference {

/// Returns the processor time of `amount` as a share of that of `capacity`.
double CpuShare(const records::Resources& amount,
                const records::Resources& capacity);

/// Derives the workload mixes of VMs from the cluster state. Keeps an index of
/// the services on each VM.
///
/// Thread safety: one thread at a time.
class MixBuilder {
 public:
  /// Returns the services that have an executor on the VM.
  std::vector<std::string> ServicesOn(const state::ClusterState& state,
                                      const std::string& vm);

  /// Precondition: `vm` belongs to `state`.
  Mix MixOf(const state::ClusterState& state, const state::Vm& vm);

 private:
  void IndexServices(const state::ClusterState& state);

  std::int64_t indexed_revision_ = -1;
  std::map<std::string, std::vector<std::string>> services_on_vm_;
};

}  // namespace basilspur::interference

#endif  // BASILSPUR_INTERFERENCE_MIX_BUILDER_H_
