#ifndef BASILSPUR_RECORDS_SPECS_H_
#define BASILSPUR_RECORDS_SPECS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "records/resources.h"

namespace basilspur::records {

/// Identifies one incarnation of an entry, that is, one lifetime of its
/// process. Every restart has a higher incarnation number.
struct EntryRef {
  std::string name;
  std::int64_t incarnation = 0;

  auto operator<=>(const EntryRef& other) const = default;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.name, self.incarnation);
  }
};

/// The location and the listening addresses of an entry.
struct EntrySpec {
  std::string data_center;
  std::string caller_address;
  std::string link_address;
  std::string operator_address;
  std::string vm;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.data_center, self.caller_address, self.link_address,
            self.operator_address, self.vm);
  }
};

/// A VM as listed by the platform. `worker_address` is empty if the VM runs no
/// worker.
struct VmSpec {
  std::string name;
  std::string worker_address;
  std::string rack;
  std::string data_center;
  Resources capacity;

  bool operator==(const VmSpec& other) const = default;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.name, self.worker_address, self.rack, self.data_center,
            self.capacity);
  }
};

/// One executor of a service.
struct TargetSpec {
  std::string address;
  std::string data_center;
  std::string vm;  ///< Empty if the executor runs on no listed VM.
  std::int64_t slots = 0;

  bool operator==(const TargetSpec& other) const = default;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.address, self.data_center, self.vm, self.slots);
  }
};

/// A latency-critical service.
struct ServiceSpec {
  std::string name;
  std::string team;
  std::int64_t timeout_ms = 0;
  std::int64_t queue_limit = 0;  ///< Maximum of waiting requests per entry.
  Resources per_target;          ///< Charged to the VM of each target.
  std::vector<TargetSpec> targets;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.name, self.team, self.timeout_ms, self.queue_limit,
            self.per_target, self.targets);
  }
};

/// A batch job.
struct JobSpec {
  std::string id;
  std::string team;
  /// Jobs of the same kind are expected to cause the same interference.
  std::string kind;
  std::string command;  ///< Passed to the worker unchanged.
  Resources resources;
  bool urgent = false;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.id, self.team, self.kind, self.command, self.resources,
            self.urgent);
  }
};

/// The limit on the resources of all running jobs of a team together.
struct TeamSpec {
  std::string name;
  Resources quota;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.name, self.quota);
  }
};

/// Identifies one run of a job.
struct RunRef {
  std::string job;
  std::int64_t number = 0;

  auto operator<=>(const RunRef& other) const = default;

  /// Formats as "job/number", the name used by workers and in logs.
  std::string ToString() const;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.job, self.number);
  }
};

}  // namespace basilspur::records

#endif  // BASILSPUR_RECORDS_SPECS_H_
