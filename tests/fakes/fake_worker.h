#ifndef BASILSPUR_TESTS_FAKES_FAKE_WORKER_H_
#define BASILSPUR_TESTS_FAKES_FAKE_WORKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "infra/worker_messages.h"

namespace basilspur::fakes {

/// A change in the state of a run, as the worker itself recorded it.
struct RunEvent {
  records::RunRef run;
  /// One of start, throttle, release, finish, fail, stop, expire and crash.
  std::string type;
  Millis at;
  std::int64_t progress_ms = 0;
};

/// A worker that simulates the execution of tasks. A task's command selects the
/// simulated behaviour:
///
/// - "work N" finishes after N ms, "fail N" fails after N ms. Checkpoints hold
///   the progress in ms.
/// - "uses CPU MEM" after that reports another usage than the declared one, in
///   thousandths of a CPU and in MiB.
/// - "slows X" after that adds X to the slowdown of services on the VM.
///
/// A throttled run progresses at half speed and adds half of its slowdown. A
/// run whose lease expires is stopped.
///
/// Thread safety: one thread at a time.
class FakeWorker {
 public:
  /// If set, every task fails at the end of its duration, whatever its command.
  void SetFailsAllTasks(bool fails_all_tasks) {
    fails_all_tasks_ = fails_all_tasks;
  }

  /// Advances all runs to `now` and ends those that finish, fail or whose lease
  /// expires by then.
  void Step(Millis now);

  /// Executes the commands of a request and reports on each run that it names.
  infra::SyncReply Sync(const infra::SyncRequest& request, Millis now);

  /// Ends all runs at `now` and discards them, so that they are never reported,
  /// as in a crash of the VM.
  void Crash(Millis now);

  /// All events since the start of the worker, in the order of recording.
  const std::vector<RunEvent>& Ledger() const { return ledger_; }
  std::vector<records::RunRef> RunningRuns() const;

  /// The sum of the resources that the running tasks declared.
  records::Resources ReservedResources() const;

 private:
  struct Run {
    records::JobSpec job;
    infra::RunStatus status = infra::RunStatus::kRunning;
    Millis last_step_at;
    Millis lease_expires_at;
    std::int64_t progress_ms = 0;
    bool throttled = false;
    std::string detail;
  };

  double Slowdown() const;
  void Start(const infra::RunCommand& command, Millis now, Millis lease);
  void End(const records::RunRef& ref, Run& run, infra::RunStatus status,
           const char* type, Millis at);

  bool fails_all_tasks_ = false;
  std::map<records::RunRef, Run> runs_;
  std::vector<RunEvent> ledger_;
};

}  // namespace basilspur::fakes

#endif  // BASILSPUR_TESTS_FAKES_FAKE_WORKER_H_
