#ifndef BASILSPUR_CELL_PEER_MESSAGES_H_
#define BASILSPUR_CELL_PEER_MESSAGES_H_

#include <cstdint>
#include <string>

#include "jobs/job_spec.h"

namespace basilspur::cell {

enum class RequestKind {
  kSubmit,
  kStatus,
  kCancel,
  kCount,
  kStandDown,  ///< Between entries: another owns the cell now.
};

/// What a caller asks of a queue, as entries pass it to the cell's owner.
struct JobRequest {
  RequestKind kind = RequestKind::kStatus;
  int cell = 0;
  std::string queue;
  std::string job;
  jobs::JobSpec spec;            ///< kSubmit.
  std::int64_t patience_ms = 0;  ///< For the answer.
  std::int64_t token = -1;       ///< kStandDown: of the new ownership.
  bool moved = false;  ///< The job's own cell has said that this one takes it.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.kind, self.cell, self.queue, self.job, self.spec,
            self.patience_ms, self.token, self.moved);
  }
};

enum class ReplyKind {
  kAccepted,   ///< The job is stored, now or before.
  kCancelled,  ///< The cancelling is stored, or the job had ended.
  kQueued,
  kRunning,
  kDone,
  kFailed,
  kWasCancelled,  ///< The state after a cancelling.
  kNoSuchJob,
  kCount,        ///< `count` jobs wait.
  kBusy,         ///< Not accepted: too many jobs.
  kUnavailable,  ///< Not accepted: the store can't be reached.
  kInDoubt,      ///< It may have been stored or not.
  kStoodDown,    ///< The replying process does not own the cell.
  kNotOwner,     ///< Ask the owner; nothing was done.
  kMoved,        ///< Ask the owner of cell `count`, which takes the job.
};

struct JobReply {
  ReplyKind kind = ReplyKind::kNotOwner;
  int count = 0;
  std::string incarnation = {};  ///< Of the process that replied.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.kind, self.count, self.incarnation);
  }
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_PEER_MESSAGES_H_
