#ifndef BASILSPUR_STATE_JOB_H_
#define BASILSPUR_STATE_JOB_H_

#include <cstdint>
#include <set>
#include <string>

#include "records/specs.h"

namespace basilspur::state {

enum class JobPhase { kWaiting, kRunning, kFinished, kFailed, kCancelled };

/// A batch job and its current run, if it has one.
struct Job {
  records::JobSpec spec;
  JobPhase phase = JobPhase::kWaiting;
  std::int64_t version = 0;
  std::int64_t accept_order = 0;
  /// Number of the current or last run; 0 before the first.
  std::int64_t run_number = 0;
  std::string vm;          ///< VM of the current run; empty if there is none.
  std::string checkpoint;  ///< Checkpoint from which the next run resumes.
  bool cancel_requested = false;
  bool evict_requested = false;
  std::int64_t evictions = 0;
  std::int64_t failures = 0;
  std::int64_t last_change_wall_ms = 0;
  /// Why the job was last evicted, returned to waiting, failed or ended.
  std::string detail;
  /// The largest reported usage of any run, per component.
  records::Resources observed;
  /// Resources charged for the current run to its VM and team.
  records::Resources charged;
  /// VMs where the job failed.
  std::set<std::string> failed_on;
  /// The VMs of `failed_on` that have finished another job since.
  std::set<std::string> failed_on_healthy;

  bool HasEnded() const {
    return phase != JobPhase::kWaiting && phase != JobPhase::kRunning;
  }

  records::RunRef CurrentRun() const { return {spec.id, run_number}; }

  /// The resources to charge for the next run: the declared ones, or the
  /// observed ones where these are larger.
  records::Resources Size() const {
    return spec.resources.ComponentwiseMax(observed);
  }

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.spec, self.phase, self.version, self.accept_order,
            self.run_number, self.vm, self.checkpoint, self.cancel_requested,
            self.evict_requested, self.evictions, self.failures,
            self.last_change_wall_ms, self.detail, self.failed_on,
            self.failed_on_healthy, self.observed, self.charged);
  }
};

}  // namespace basilspur::state

#endif  // BASILSPUR_STATE_JOB_H_
