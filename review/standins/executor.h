#ifndef BASILSPUR_REVIEW_EXECUTOR_H_
#define BASILSPUR_REVIEW_EXECUTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "record.h"

namespace review {

namespace net = basilspur::net;
using basilspur::Millis;

/// What a task does, read from its job's spec: "WORK_MS", and optionally
/// "saves" and "gang=SIZE". A task with WORK_MS 0 lasts.
struct Work {
  std::int64_t work_ms = 0;
  bool saves = false;
  int gang_size = 0;
};

/// A start order that an executor has carried out.
struct Start {
  double at = 0;
  std::string executor;
  std::string kind;  ///< Of the executor.
  std::string task;
  int run = 0;
  std::string checkpoint;
};

class Executor;

/// What all executors have seen.
struct Fleet {
  Record* record = nullptr;
  bool quiet = false;   ///< Starts and ends are not written to the record.
  std::vector<Start> starts;
  std::map<std::string, int> done;     ///< Ends `done` by task.
  std::map<std::string, int> running;  ///< Runs at work or waiting, by task.
  std::map<std::string, double> last_run_at;  ///< When a run last ended.
  std::vector<Executor*> executors;
};

/// One life of an executor, as PROTOCOL.md describes it.
///
/// Thread safety: only on the thread of its io_context.
class Executor {
 public:
  /// `kind` is its first label.
  Executor(Fleet& fleet, std::string id, std::string kind);

  net::asio::awaitable<net::HttpResponse> HandleRequest(
      net::HttpRequest request);

  const std::string& Id() const { return id_; }
  /// Everything that runs here terminates, and nothing is answered any more.
  void Crash();
  bool IsUp() const { return up_; }
  /// Starts again under its id, as another kind. It knows nothing of before.
  void StartAgain(const std::string& kind);
  const std::string& Kind() const { return kind_; }
  /// The Unix millisecond of its start.
  std::int64_t Born() const { return born_ms_; }
  std::int64_t ClockMs() const { return Now().count; }
  int Runs() const { return static_cast<int>(runs_.size()); }
  /// Ends what is due; call often.
  void Step();

 private:
  struct ActiveRun {
    int run = 0;
    Work work;
    Millis arrived;
    Millis work_began;  ///< 0: waits for the other members of its gang.
    std::int64_t resumed_ms = 0;  ///< Work that its checkpoint holds.
    std::string checkpoint;
    Millis stops_at;  ///< 0: is not being stopped.
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
    std::string checkpoint;
  };

  /// Its clock starts anew with each life.
  Millis Now() const { return clock_.Monotonic() - clock_base_; }
  bool IsStale(std::int64_t fence);
  void Extend(std::int64_t deadline_ms);
  void EndRun(const std::string& task, const std::string& how);
  std::int64_t ProgressOf(const ActiveRun& run) const;
  std::string CheckpointOf(const std::string& task, const ActiveRun& run) const;
  net::HttpResponse Reply(unsigned status, const std::string& reason) const;
  net::HttpResponse StartRun(const std::string& body);
  net::HttpResponse StopRun(const std::string& body);
  net::asio::awaitable<net::HttpResponse> Hold(std::string body);
  /// The gang of a run, on all executors.
  std::vector<std::pair<Executor*, std::string>> GangOf(const std::string& task,
                                                        int run) const;

  Fleet& fleet_;
  std::string id_;
  std::string kind_;
  bool up_ = true;
  int life_ = 1;
  basilspur::SystemClock clock_;
  std::int64_t born_ms_ = 0;
  Millis clock_base_;
  std::int64_t fence_ = 0;
  std::int64_t deadline_ms_ = 0;
  std::int64_t last_end_ = 0;
  std::map<std::string, ActiveRun> runs_;
  std::map<std::string, int> highest_run_;
  std::vector<End> ended_;
};

}  // namespace review

#endif  // BASILSPUR_REVIEW_EXECUTOR_H_
