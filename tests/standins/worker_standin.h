#ifndef BASILSPUR_TESTS_STANDINS_WORKER_STANDIN_H_
#define BASILSPUR_TESTS_STANDINS_WORKER_STANDIN_H_

#include <atomic>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "net/http_message.h"
#include "net/http_server.h"

namespace basilspur::standins {

class WorkerStandin;

/// Counts the runs of one task on all workers, for checks in tests.
struct TaskHistory {
  int starts_accepted = 0;
  int runs_done = 0;
  bool done_acknowledged = false;
  WorkerStandin* runs_on = nullptr;  ///< Null while no run is known.
};

/// Stand-in for an executor of the users' platform on one VM, which runs tasks
/// under a lease. A task's payload is its duration in ms, or "fail" for a task
/// that fails; a second number is the task's share of the VM's cpu.
///
/// Thread safety: only on the thread of its io_context; the atomic members on
/// any thread.
class WorkerStandin {
 public:
  /// `id` is that of the VM. `histories` may be shared by workers on one
  /// thread.
  WorkerStandin(std::string id, std::map<std::string, TaskHistory>& histories)
      : id_(std::move(id)), histories_(histories) {}

  net::asio::awaitable<net::HttpResponse> HandleRequest(
      net::HttpRequest request);

  /// Capacity of the VM, in thousandths of a core.
  static constexpr int kCpuMillis = 4'000;

  /// One line for each start beyond the VM's capacity, beside another run of
  /// the same task, or of a task whose end was acknowledged. Copies of tasks
  /// (`speculative`) are not told apart.
  std::vector<std::string> violations;
  /// Starts runs, but responds only after the client has timed out.
  std::atomic<bool> drop_start_responses = false;
  /// Calls with a lower or a higher fencing token are lost, as are the
  /// responses to those that wait, as if the worker was cut off from their
  /// owners.
  std::atomic<std::int64_t> min_reachable_token = 0;
  std::atomic<std::int64_t> max_reachable_token =
      std::numeric_limits<std::int64_t>::max();

  std::int64_t HighestToken() const { return highest_token_; }

 private:
  struct ActiveRun {
    int run_number = 0;
    Millis starts_at;
    Millis ends_at;
    bool fails = false;
    int cpu_millis = 0;
  };
  struct EndedRun {
    std::int64_t sequence = 0;  ///< Rises from 1, in the order of ends.
    std::string task;
    int run_number = 0;
    std::string result;
    int lease_losses = 0;  ///< lease_losses_ when the run ended.
    int starts = 0;        ///< Of the task, when the run ended.
  };

  Millis Now() const { return clock_.Monotonic(); }
  /// Ends the runs whose work is finished or whose lease has expired.
  void EndDueRuns();
  int PercentDone(const ActiveRun& run) const;
  /// Does nothing if the task is not running.
  void EndRun(const std::string& task, const std::string& result);
  /// Notes what the start of a run with this payload violates.
  void CheckStart(const std::string& task, int cpu_millis);
  /// Extends the lease; counts it as lost before if it had expired.
  void ExtendLease(std::int64_t deadline_ms);
  /// Removes the ends up to this number.
  void AcknowledgeEnds(std::int64_t last_seen);
  bool IsCutOffFrom(std::int64_t token) const {
    return token < min_reachable_token || token > max_reachable_token;
  }
  net::asio::awaitable<net::HttpResponse> Handle(net::HttpRequest request);
  // Handlers of one kind of request each; `body` is its JSON.
  net::HttpResponse Start(const std::string& body);
  net::HttpResponse Stop(const std::string& body);
  net::asio::awaitable<net::HttpResponse> RenewLease(std::string body);
  net::HttpResponse MakeReply(unsigned status, const std::string& reason) const;
  /// True if a higher fencing token has been received.
  bool IsStale(std::int64_t token);

  std::string id_;
  std::map<std::string, TaskHistory>& histories_;
  SystemClock clock_;
  std::int64_t highest_token_ = 0;
  std::int64_t deadline_ms_ = 0;
  int lease_losses_ = 0;
  std::int64_t last_end_sequence_ = 0;
  std::map<std::string, ActiveRun> running_;
  std::map<std::string, int> highest_ended_run_;
  std::vector<EndedRun> ended_;
};

}  // namespace basilspur::standins

#endif  // BASILSPUR_TESTS_STANDINS_WORKER_STANDIN_H_
