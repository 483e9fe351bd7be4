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
  kStepDown,  ///< From a peer: it owns the cell under a later token.
};

/// Returns the kind's name in the log.
const char* NameOf(RequestKind kind);

/// A caller's request to a queue as entries forward it to the cell's owner, or
/// a peer's request to step down.
struct JobRequest {
  RequestKind kind = RequestKind::kStatus;
  int cell = 0;
  std::string queue;
  std::string job;
  jobs::JobSpec spec;           ///< Set for kSubmit.
  std::int64_t timeout_ms = 0;  ///< Time limit for the reply.
  std::int64_t token = -1;      ///< Set for kStepDown: the new owner's token.
  bool moved = false;  ///< The job's home cell has assigned it to this cell.
  /// Address of an entry that doesn't reach the owner: the receiver forwards
  /// the request once, without this field. Empty: the receiver is the owner.
  std::string relay_for;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.kind, self.cell, self.queue, self.job, self.spec,
            self.timeout_ms, self.token, self.moved, self.relay_for);
  }
};

enum class ReplyKind {
  kAccepted,   ///< The job is stored, by this request or an earlier one.
  kCancelled,  ///< The cancellation is stored, or the job had ended before.
  kQueued,
  kRunning,
  kDone,
  kFailed,
  kWasCancelled,  ///< The state of a job that was cancelled.
  kNoSuchJob,
  kCount,        ///< `count` is the number of waiting jobs.
  kBusy,         ///< Not accepted: too many jobs.
  kUnavailable,  ///< Not accepted: the store or the owner is unreachable.
  kInDoubt,      ///< The request may have been executed.
  kSteppedDown,  ///< The replying process does not own the cell.
  kNotOwner,     ///< Nothing was done; retry with the cell's owner.
  kMoved,        ///< `count` is the cell that the job was assigned to.
};

struct JobReply {
  ReplyKind kind = ReplyKind::kNotOwner;
  int count = 0;                 ///< Set for kCount and kMoved.
  std::string incarnation = {};  ///< Identifies the process that replied.
  /// Another entry may have replaced the replying owner: its last renewal was
  /// stored too long ago.
  bool may_be_replaced = false;
  /// Set for kBusy and kUnavailable: when the request might be accepted; 0 if
  /// that is not known.
  std::int64_t retry_after_ms = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.kind, self.count, self.incarnation, self.may_be_replaced,
            self.retry_after_ms);
  }
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_PEER_MESSAGES_H_
