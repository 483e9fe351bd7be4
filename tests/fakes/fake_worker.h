#ifndef BASILSPUR_TESTS_FAKES_FAKE_WORKER_H_
#define BASILSPUR_TESTS_FAKES_FAKE_WORKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "infra/worker_messages.h"

namespace basilspur::fakes {

/// One line of a worker's own record of what ran.
struct LedgerLine {
  records::RunRef run;
  /// start, throttle, release, finish, fail, stop or lapse.
  std::string event;
  Millis at;
  std::int64_t progress_ms = 0;
};

/// A worker that only pretends to run tasks. Commands: "work N" takes N ms,
/// "fail N" fails after N ms; progress is kept in checkpoints. "uses CPU MEM"
/// after that takes other than declared, "slows X" adds X to the slowdown of
/// services on the VM. It stops a run
/// whose lease was not renewed.
///
/// Thread safety: one thread at a time.
class FakeWorker {
 public:
  /// Fails every task after its time, whatever its command.
  void SetBroken(bool broken) { broken_ = broken; }

  /// Brings the runs up to `now`.
  void Step(Millis now);

  infra::SyncReply Sync(const infra::SyncRequest& request, Millis now);

  /// All runs end without a word, as when the VM dies.
  void Crash(Millis now);

  const std::vector<LedgerLine>& Ledger() const { return ledger_; }
  std::vector<records::RunRef> Running() const;

  /// What the running tasks take together.
  records::Resources InUse() const;

 private:
  struct Run {
    records::JobSpec job;
    infra::RunStatus status = infra::RunStatus::kRunning;
    Millis last_step;
    Millis lease_until;
    std::int64_t progress_ms = 0;
    bool throttled = false;
    std::string detail;
  };

  double Slowdown() const;
  void Start(const infra::RunCommand& command, Millis now, Millis lease);
  void End(const records::RunRef& ref, Run& run, infra::RunStatus status,
           const char* event, Millis at);

  bool broken_ = false;
  std::map<records::RunRef, Run> runs_;
  std::vector<LedgerLine> ledger_;
};

}  // namespace basilspur::fakes

#endif  // BASILSPUR_TESTS_FAKES_FAKE_WORKER_H_
