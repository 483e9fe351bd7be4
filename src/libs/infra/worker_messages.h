#ifndef BASILSPUR_INFRA_WORKER_MESSAGES_H_
#define BASILSPUR_INFRA_WORKER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "records/specs.h"

namespace basilspur::infra {

enum class RunDirective { kRun, kThrottle, kStop };

/// What a worker shall do about one run. Starting is idempotent by run: a
/// worker never starts a run again that it has started or refused before. An
/// order without a job (empty id) acts on a run that the worker has, and never
/// starts one.
struct RunOrder {
  records::RunRef run;
  RunDirective directive = RunDirective::kRun;
  records::JobSpec job;
  std::string checkpoint;  ///< Resume here; empty: from the start.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.run, self.directive, self.job, self.checkpoint);
  }
};

/// Renews the leases of the named runs, starts those that are new and stops
/// those that shall stop, in one message. Runs that are not named are left
/// alone.
struct SyncRequest {
  records::EntryRef sender;
  std::int64_t lease_ms = 0;
  std::vector<RunOrder> orders;
  std::vector<records::RunRef> forget;  ///< Ends that the log has recorded.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.sender, self.lease_ms, self.orders, self.forget);
  }
};

enum class RunStatus {
  kRunning,
  kFinished,
  kFailed,
  kStopped,
  kUnknown,  ///< The worker does not have the run, and the order had no job.
};

/// What a worker says of one run. Usage is as of `usage_age_ms` ago.
struct RunReport {
  records::RunRef run;
  RunStatus status = RunStatus::kRunning;
  std::string checkpoint;
  std::string detail;
  records::Resources usage;
  std::int64_t usage_age_ms = 0;
  double slowdown = 0;  ///< Of latency-critical tasks on the VM; 1: none.

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
