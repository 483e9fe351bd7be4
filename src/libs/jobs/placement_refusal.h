#ifndef BASILSPUR_JOBS_PLACEMENT_REFUSAL_H_
#define BASILSPUR_JOBS_PLACEMENT_REFUSAL_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace basilspur::jobs {

/// The first rule that prevents a run of a task on a VM, in the order in which
/// the rules are checked.
enum class PlacementRefusal {
  kUnlisted,          ///< The platform no longer lists the VM.
  kUnreachable,       ///< It did not answer, or its lease has expired.
  kLeaseBound,        ///< The owner record bounds its lease.
  kNotInJournal,      ///< The journal does not list it yet.
  kDraining,          ///< It is about to be removed.
  kClosedDataCenter,  ///< Operators have closed its data center.
  kOtherService,      ///< It belongs to another service.
  kQuarantined,       ///< Runs failed on it one after another.
  kIsolated,          ///< A run that may crash it has only begun there.
  kMissingLabel,      ///< It lacks the label that the step requires.
  kMemory,            ///< Too little free memory.
  kCapacity,          ///< Too few free processors or other resources.
  kReserved,          ///< Its capacity is reserved for another task.
  kMaxPerVm,          ///< It has as many tasks of the step as the step allows.
  kReopening,         ///< Its data center was opened again a short while ago.
  kUnusedCpu,       ///< Other best-effort runs use the processors left unused.
  kPredictedTails,  ///< A tail latency would come too close to its target.
};

inline constexpr std::size_t kPlacementRefusalCount = 17;

/// Names as used in logs, by the value of PlacementRefusal.
inline constexpr std::array<std::string_view, kPlacementRefusalCount>
    kPlacementRefusalNames = {
        "unlisted",       "unreachable",    "lease_bound",
        "not_in_journal", "draining",       "closed_data_center",
        "service",        "quarantined",    "isolated",
        "label",          "memory",         "capacity",
        "reserved",       "max_per_vm",     "reopening",
        "unused_cpu",     "predicted_tails"};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_PLACEMENT_REFUSAL_H_
