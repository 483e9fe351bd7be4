#ifndef BASILSPUR_RECORDS_RECORD_H_
#define BASILSPUR_RECORDS_RECORD_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "records/specs.h"

namespace basilspur::records {

/// The writer joins the cell. Must be its first record.
struct EntryJoined {
  EntrySpec spec;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.spec);
  }
};

/// An entry is known to have ended: it left the cell, or the platform no longer
/// lists its VM. Its later records are rejected.
struct EntryEnded {
  EntryRef entry;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.entry);
  }
};

/// The platform lists a new VM, or a known VM with changed values.
struct VmListed {
  VmSpec spec;
  bool leaving = false;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.spec, self.leaving);
  }
};

/// The platform no longer lists a VM, so its runs have ended.
struct VmUnlisted {
  std::string vm;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.vm);
  }
};

/// An operator drains a VM or returns it to service.
struct VmDrained {
  std::string vm;
  bool draining = false;
  std::int64_t base_version = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.vm, self.draining, self.base_version);
  }
};

/// The writer becomes the owner of the VM; only the owner starts, renews and
/// ends its runs. Rejected if the current owner is not `expected_owner`.
struct VmClaimed {
  std::string vm;
  EntryRef expected_owner;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.vm, self.expected_owner);
  }
};

/// The writer releases the VM: it sends no further messages to the VM's worker
/// unless it claims the VM again. Rejected if the set of renewers has changed
/// since `renewers_version`, because a claim of the writer may have been
/// accepted in the meantime. An entry that shuts down (`stopping`) releases the
/// VM regardless of such changes.
struct VmReleased {
  std::string vm;
  bool stopping = false;
  std::int64_t renewers_version = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.vm, self.stopping, self.renewers_version);
  }
};

struct ServicePut {
  ServiceSpec spec;
  std::int64_t base_version = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.spec, self.base_version);
  }
};

struct ServiceDeleted {
  std::string name;
  std::int64_t base_version = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.name, self.base_version);
  }
};

struct TeamPut {
  TeamSpec spec;
  std::int64_t base_version = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.spec, self.base_version);
  }
};

struct ConfigPut {
  std::string key;
  std::string value;
  std::int64_t base_version = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.key, self.value, self.base_version);
  }
};

struct JobAccepted {
  JobSpec spec;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.spec);
  }
};

/// Cancels one or more jobs.
struct JobsCancelled {
  std::vector<std::string> ids;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.ids);
  }
};

/// Places the next run of a waiting job on a VM. Rejected if the VM accepts no
/// runs or lacks the capacity, or if the run exceeds the team's quota.
struct RunPlaced {
  RunRef run;
  std::string vm;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.run, self.vm);
  }
};

/// Requests that the VM's owner checkpoint and stop a run.
struct RunEvicted {
  RunRef run;
  std::string reason;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.run, self.reason);
  }
};

struct RunCheckpointed {
  RunRef run;
  std::string checkpoint;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.run, self.checkpoint);
  }
};

enum class RunOutcome {
  kFinished,  ///< The worker reported success.
  kFailed,    ///< The worker reported failure.
  kStopped,   ///< The worker reported that it stopped the run.
  /// No other entry may renew the lease, and its full duration has elapsed.
  kLeaseExpired,
};

/// The end of a run, with its outcome and the evidence for it. kLeaseExpired is
/// accepted only if there is a single renewer and the set of renewers has not
/// changed since `renewers_version`: an entry that was a renewer for a while in
/// between may have renewed the lease.
struct RunEnded {
  RunRef run;
  RunOutcome outcome = RunOutcome::kFinished;
  std::string detail;
  std::string checkpoint;
  std::int64_t renewers_version = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.run, self.outcome, self.detail, self.checkpoint,
            self.renewers_version);
  }
};

/// The VM's owner lost or regained contact with the worker. No new runs are
/// placed on an unreachable VM.
struct VmReachability {
  std::string vm;
  bool reachable = true;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.vm, self.reachable);
  }
};

/// The snapshot stream holds a complete snapshot of the state at
/// `state_offset`.
struct SnapshotTaken {
  std::int64_t state_offset = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.state_offset);
  }
};

/// The worker reports that a run uses more resources than are charged for it.
/// The charge is raised if the VM has enough free capacity. Otherwise the run
/// is evicted, and the next run is charged for the usage of this one.
struct RunUsage {
  RunRef run;
  Resources usage;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.run, self.usage);
  }
};

/// The writer becomes the standby of the VM's owner. While the owner is
/// unreachable, the standby renews the leases of the runs that the worker has,
/// but starts no runs. It is a renewer like any other. Rejected if the current
/// standby is not `expected_standby`.
struct VmStandby {
  std::string vm;
  EntryRef expected_standby;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.vm, self.expected_standby);
  }
};

/// The change that a record makes. New types must be appended at the end,
/// because the log stores the index of the type.
using RecordBody =
    std::variant<EntryJoined, EntryEnded, VmListed, VmUnlisted, VmDrained,
                 VmClaimed, VmReleased, ServicePut, ServiceDeleted, TeamPut,
                 ConfigPut, JobAccepted, JobsCancelled, RunPlaced, RunEvicted,
                 RunCheckpointed, RunEnded, VmReachability, SnapshotTaken,
                 RunUsage, VmStandby>;

/// One record of a cell's stream.
struct Record {
  std::string cell;
  EntryRef writer;
  std::int64_t sequence = 0;  ///< Increases by one per record of a writer.
  std::int64_t wall_ms = 0;   ///< The writer's wall clock, for display.
  std::string actor;          ///< The requesting operator, if there is one.
  RecordBody body;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.cell, self.writer, self.sequence, self.wall_ms, self.actor,
            self.body);
  }
};

/// The records of one append to the log.
struct RecordBatch {
  std::vector<Record> records;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.records);
  }
};

/// One chunk of a snapshot on the cell's snapshot stream.
struct SnapshotChunk {
  std::string cell;
  EntryRef writer;
  /// The snapshot includes all records up to this offset.
  std::int64_t state_offset = 0;
  std::int64_t index = 0;
  std::int64_t count = 0;
  std::string data;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.cell, self.writer, self.state_offset, self.index, self.count,
            self.data);
  }
};

}  // namespace basilspur::records

#endif  // BASILSPUR_RECORDS_RECORD_H_
