#ifndef BASILSPUR_TESTS_FAKES_SIM_ENTRY_H_
#define BASILSPUR_TESTS_FAKES_SIM_ENTRY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "fakes/fake_clock.h"
#include "fakes/fake_log.h"
#include "fakes/fake_worker.h"
#include "infra/vm_directory.h"
#include "lease/pause_detector.h"
#include "lease/vm_supervisor.h"
#include "placement/planner.h"
#include "replica/replica.h"

namespace basilspur::fakes {

/// A VM with its worker.
struct SimVm {
  records::VmSpec spec;
  FakeWorker worker;
  bool listed = true;  ///< The platform's list contains the VM.
  bool alive = true;   ///< The worker runs and receives messages.
  /// Entries whose messages to the worker are lost.
  std::set<std::string> unreachable_from;
};

/// The simulated environment that all entries of a schedule share.
struct SimWorld {
  FakeClock clock;
  FakeLogStore log;
  std::map<std::string, SimVm> vms;
  std::set<std::string> entries_up;
  Random random;

  explicit SimWorld(std::uint64_t seed) : random(seed) {}
  std::vector<infra::ListedVm> List() const;
};

/// An entry that runs the real decision code on the fakes, without threads:
/// replay, claims, placement and leases are executed by explicit steps.
class SimEntry {
 public:
  /// Precondition: `world` outlives the entry.
  SimEntry(std::string name, SimWorld& world,
           const lease::LeaseSettings& settings);

  /// Executes one step of the process; does nothing while it is paused.
  void Step();

  void Pause() { paused_ = true; }
  void Resume() { paused_ = false; }
  bool IsPaused() const { return paused_; }

  /// Simulates a crash of the process and its restart with empty memory.
  void Restart();

  void Submit(records::RecordBody body, std::string actor = "");

  const replica::Replica& Replica() const { return *replica_; }
  const records::EntryRef& Self() const { return self_; }
  /// Violations of invariants that this entry has observed.
  const std::vector<std::string>& Violations() const { return violations_; }

 private:
  struct SyncMessage {
    std::string vm;
    infra::SyncRequest request;
    Millis send_at;
    Millis timeout_at;
    bool sent = false;
    std::optional<infra::SyncReply> reply;
    bool reply_lost = false;
  };

  void Start();
  void StepWriter();
  void StepDecisions();
  void StepLeases();
  void StepMessages();
  void Deliver(SyncMessage& message);
  void CheckConfig();

  SimWorld& world_;
  const lease::LeaseSettings settings_;
  records::EntryRef self_;
  bool paused_ = false;
  bool loaded_ = false;
  std::unique_ptr<replica::Replica> replica_;
  std::unique_ptr<placement::Planner> planner_;
  std::unique_ptr<lease::PauseDetector> pause_detector_;
  std::map<std::string, lease::VmSupervisor> supervisors_;
  std::map<std::string, int> missed_list_counts_;
  std::vector<SyncMessage> sync_messages_;

  std::deque<records::Record> queue_;
  std::vector<records::Record> in_flight_;
  std::vector<records::Bytes> delayed_appends_;  ///< Appends in transit.
  std::int64_t last_sequence_ = 0;
  std::int64_t applied_sequence_ = 0;
  std::set<std::string> pending_claims_;
  std::map<std::string, std::int64_t> config_versions_;
  std::vector<std::string> violations_;
};

}  // namespace basilspur::fakes

#endif  // BASILSPUR_TESTS_FAKES_SIM_ENTRY_H_
