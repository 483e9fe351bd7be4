#ifndef BASILSPUR_INFRA_WORKER_MESSAGES_H_
#define BASILSPUR_INFRA_WORKER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "records/specs.h"

namespace basilspur::infra {

enum class RunDirective { kRun, kThrottle, kStop };

/// A command to a worker about one run. Starting is idempotent by run: a worker
/// never starts a run that it has started or refused before. A command without
/// a job (empty id) applies to a run in the worker's records and never starts
/// one.
struct RunCommand {
  records::RunRef run;
  RunDirective directive = RunDirective::kRun;
  records::JobSpec job;
  /// The checkpoint from which to resume; empty to start from the beginning.
  std::string checkpoint;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.run, self.directive, self.job, self.checkpoint);
  }
};

/// Renews the leases of the runs in `commands`, starts those that are new and
/// stops those with a stop command, in one message. Other runs are not
/// affected.
struct SyncRequest {
  records::EntryRef sender;
  std::int64_t lease_ms = 0;
  std::vector<RunCommand> commands;
  /// Runs whose end is in the log; the worker removes its records of them.
  std::vector<records::RunRef> recorded_ends;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.sender, self.lease_ms, self.commands, self.recorded_ends);
  }
};

enum class RunStatus {
  kRunning,
  kFinished,
  kFailed,
  kStopped,
  kUnknown,  ///< The worker has no record of the run and received no job.
};

/// A worker's report on one run. `usage` was measured `usage_age_ms` ago.
struct RunReport {
  records::RunRef run;
  RunStatus status = RunStatus::kRunning;
  std::string checkpoint;
  std::string detail;
  records::Resources usage;
  std::int64_t usage_age_ms = 0;
  /// Slowdown of the latency-critical tasks on the VM: 1 for none, 0 if it was
  /// not measured.
  double slowdown = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.run, self.status, self.checkpoint, self.detail, self.usage,
            self.usage_age_ms, self.slowdown);
  }
};

struct SyncReply {
  std::vector<RunReport> reports;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.reports);
  }
};

}  // namespace basilspur::infra

#endif  // BASILSPUR_INFRA_WORKER_MESSAGES_H_
