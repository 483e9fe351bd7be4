#ifndef BASILSPUR_JOBS_ADMISSION_POLICY_H_
#define BASILSPUR_JOBS_ADMISSION_POLICY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "jobs/job_spec.h"
#include "jobs/vm_listing.h"

namespace basilspur::jobs {

/// Why a job is refused at its submission.
enum class AdmissionRefusal {
  kTooLarge,      ///< A task is larger than each VM that it may run on.
  kGangTooLarge,  ///< All VMs together can't host the tasks of a gang at once.
  kMissingLabel,  ///< No listed VM has the label or rack that a step requires.
};

/// Refuses jobs that no listed VM can serve, so that their callers learn of it
/// at once. It is meant for deployments with heterogeneous VMs, whose list
/// changes all the time and is read with delays: in doubt a job is accepted. A
/// VM counts while it is listed, whether it is up, closed or draining. It does
/// no input or output.
///
/// Thread safety: one thread at a time.
class AdmissionPolicy {
 public:
  using Vms = std::map<std::string, VmListing>;  ///< By id, of all cells.

  struct Counters {
    std::int64_t too_large = 0;
    std::int64_t gang_too_large = 0;
    std::int64_t missing_label = 0;
  };

  /// The list of VMs is read from its beginning.
  void OnListStarted(Millis now);
  /// A VM is listed that was not before.
  void OnNewVm(Millis now) { last_new_vm_ = now; }
  /// A VM is no longer listed. Another one may replace it.
  void OnVmGone(Millis now) { last_gone_vm_ = now; }

  /// Whether the list was read for long enough to be known in full.
  bool KnowsFleet(Millis now) const;
  /// Returns why the job of `service` can't be served; empty: accept it.
  std::optional<AdmissionRefusal> Check(const std::string& service,
                                        const JobSpec& spec, const Vms& vms,
                                        Millis now);
  const Counters& Counts() const { return counters_; }

 private:
  static std::optional<AdmissionRefusal> CheckStep(const std::string& service,
                                                   const StepSpec& step,
                                                   const Vms& vms);
  /// Whether all VMs together could host the gang if nothing else ran there.
  static bool MayHoldGang(const std::string& service, const StepSpec& gang,
                          const Vms& vms);
  void Count(AdmissionRefusal refusal);

  std::optional<Millis> started_at_;
  Millis last_new_vm_;
  std::optional<Millis> last_gone_vm_;
  Counters counters_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_ADMISSION_POLICY_H_
