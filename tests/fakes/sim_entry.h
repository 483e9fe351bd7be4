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

/// A worker with the VM that it stands for.
struct SimVm {
  records::VmSpec spec;
  FakeWorker worker;
  bool listed = true;
  bool alive = true;
  std::set<std::string> cut_from;  ///< Entries whose messages get lost.
};

/// What all entries of a schedule share.
struct SimWorld {
  FakeClock clock;
  FakeLogStore log;
  std::map<std::string, SimVm> vms;
  std::set<std::string> entries_up;
  Random random;

  explicit SimWorld(std::uint64_t seed) : random(seed) {}
  std::vector<infra::ListedVm> List() const;
};

/// The product's decisions of one entry, stepped by hand: replay, claims,
/// placement and leases, over the fakes.
class SimEntry {
 public:
  /// Precondition: `world` outlives the entry.
  SimEntry(std::string name, SimWorld& world,
           const lease::LeaseSettings& settings);

  /// One step of the process. While it is paused nothing happens.
  void Step();

  void Pause() { paused_ = true; }
  void Resume() { paused_ = false; }
  bool IsPaused() const { return paused_; }

  /// The process dies and starts anew with empty memory.
  void Restart();

  void Submit(records::RecordBody body, std::string actor = "");

  const replica::Replica& Replica() const { return *replica_; }
  const records::EntryRef& Self() const { return self_; }
  const std::vector<std::string>& Faults() const { return faults_; }

 private:
  struct Message {
    std::string vm;
    infra::SyncRequest request;
    Millis deliver_at;
    Millis give_up_at;
    bool sent = false;
    std::optional<infra::SyncReply> reply;
    bool reply_lost = false;
  };

  void Start();
  void StepWriter();
  void StepDecisions();
  void StepLeases();
  void StepMessages();
  void Deliver(Message& message);
  void CheckConfig();

  SimWorld& world_;
  const lease::LeaseSettings settings_;
  records::EntryRef self_;
  bool paused_ = false;
  bool loaded_ = false;
  std::unique_ptr<replica::Replica> replica_;
  std::unique_ptr<placement::Planner> planner_;
  std::unique_ptr<lease::PauseDetector> pauses_;
  std::map<std::string, lease::VmSupervisor> supervisors_;
  std::map<std::string, int> absences_;
  std::vector<Message> messages_;

  std::deque<records::Record> queue_;
  std::vector<records::Record> in_flight_;
  std::vector<records::Bytes> late_;  ///< Appends still on their way.
  std::int64_t last_sequence_ = 0;
  std::int64_t judged_sequence_ = 0;
  std::set<std::string> claiming_;
  std::map<std::string, std::int64_t> config_versions_;
  std::vector<std::string> faults_;
};

}  // namespace basilspur::fakes

#endif  // BASILSPUR_TESTS_FAKES_SIM_ENTRY_H_
