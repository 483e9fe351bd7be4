#ifndef TESTS_AUTO_CELL_CELL_MEMBER_FIXTURE_H_
#define TESTS_AUTO_CELL_CELL_MEMBER_FIXTURE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "auto/cell/fake_store.h"
#include "cell/cell_member.h"
#include "cell/vm_client.h"
#include "fakes/fake_clock.h"

namespace basilspur::cell {

/// Answers each call at once and keeps what it received.
class FakeVmClient final : public VmClient {
 public:
  net::asio::awaitable<RenewalAnswer> Renew(jobs::VmListing vm,
                                            Renewal renewal) override;
  net::asio::awaitable<CommandAnswer> Send(jobs::VmListing vm,
                                           jobs::RunCommand command,
                                           CommandContext context) override;
  void Disconnect(const std::string& address) override {
    disconnected.push_back(address);
  }

  std::vector<Renewal> renewals;
  std::vector<jobs::RunCommand> commands;
  /// How commands are answered, and after how long.
  jobs::RunCommandOutcome command_outcome = jobs::RunCommandOutcome::kDone;
  Millis command_time;
  std::vector<std::string> disconnected;  ///< Addresses.
  /// The answer of VMs without a report.
  RenewalFailure failure = RenewalFailure::kNoAnswer;
  /// Whether the VM does not answer renewals for now. May be empty.
  std::function<bool(const std::string& vm)> is_held;
  /// Called before each answer to a renewal.
  std::function<void()> before_answer;
  /// The reports of VMs that answer renewals.
  std::map<std::string, jobs::VmReport> reports;
};

/// One entry's member of cell 0, with a store and VMs in memory.
class CellMemberFixture {
 public:
  CellMemberFixture();
  ~CellMemberFixture();

  /// Runs what is ready, without waiting for timers.
  void Pump();
  /// Runs for this time, timers included.
  void PumpFor(Millis duration);
  /// Advances the clock by `duration` in steps of a tick.
  void TickFor(Millis duration);
  /// Advances the clock, ticking, until the member owns the cell.
  void BecomeOwner();
  /// Returns how the owner answers a request for the state of a job.
  /// Precondition: the member owns the cell.
  ReplyKind AskFor(const std::string& job);
  /// Appends a claim of the entry `node` at the end of the partition. Returns
  /// its token.
  std::int64_t AppendClaimOf(const std::string& node,
                             std::vector<FormerOwner> former_owners = {});
  /// Appends a record of the entry `node`.
  std::int64_t AppendRecord(const OwnerRecord& record);
  /// The newest owner record in the store.
  OwnerRecord NewestRecord();
  /// Lists a VM with 16 cores, which reports `running`, and writes it to the
  /// journal, as owners do before they use a VM.
  void AddVm(const std::string& id,
             std::vector<jobs::RunningRunReport> running = {});
  /// Writes a job with one task to the journal, of which `last_run` was the
  /// last run, on `vm`.
  void AddJournaledJob(const std::string& id, int last_run,
                       const std::string& vm);
  static OwnerRecord MakeRecord(const std::string& node);

  net::asio::io_context context;
  fakes::FakeClock clock;
  FakeStore store{context};
  FakeVmClient vms;
  Partition partition{"keyed.owners", 0};
  std::vector<CellOwner::Ownership> ownerships;  ///< Of all owners made.
  std::vector<jobs::VmListing> listings;         ///< Given to new owners.
  JobReply peer_reply;  ///< Answers requests to other entries.
  /// Answers probes of other entries.
  Result<OwnerProbeReply> probe_reply =
      Error{ErrorCode::kTimeout, "receive", "", "no answer"};
  int probes = 0;
  std::function<bool()> may_start;  ///< Of owners; empty: always.
  std::shared_ptr<CellMember> member;
};

}  // namespace basilspur::cell

#endif  // TESTS_AUTO_CELL_CELL_MEMBER_FIXTURE_H_
