#ifndef BASILSPUR_REVIEW_STANDINS_3_WORKER_H_
#define BASILSPUR_REVIEW_STANDINS_3_WORKER_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "world.h"

namespace review {

/// Stand-in for an executor, as "Running tasks" of the users' pages describes
/// it. A task's `spec` is its duration in ms.
///
/// Thread safety: only on the thread of its io_context; `mode` on any thread.
class Worker {
 public:
  enum class Mode { kUp, kSilent, kDown };

  Worker(World& world, std::string id, std::string rack, std::int64_t hold_ms)
      : world_(world),
        id_(std::move(id)),
        rack_(std::move(rack)),
        hold_max_ms_(hold_ms) {}

  basilspur::net::asio::awaitable<basilspur::net::HttpResponse> Handle(
      basilspur::net::HttpRequest request);
  /// Ends what is due. Call often.
  void Advance();
  /// Crashes, and begins a new life under `id`.
  void Crash(const std::string& id);
  /// From now on a share of the starts, in percent, gets no answer and is
  /// carried out 2 to 12 s later: the first copy of each. 0: none any more.
  void LoseStarts(int percent) { late_percent_ = percent; }
  /// Carries out what is due of that. Call often.
  void CarryOutLate();
  /// Says of itself when it was born, and may start again under its id.
  void NameBirth() { names_birth_ = true; }

  const std::string& Id() const { return id_; }
  const std::string& Rack() const { return rack_; }
  /// The entry in the platform's store.
  std::string Entry(const std::string& address, const std::string& state);

  static constexpr int kCpu = 32'000;
  static constexpr int kMemMb = 125'000;
  std::atomic<Mode> mode = Mode::kUp;

 private:
  struct Run {
    int number = 0;
    std::int64_t from = 0;
    std::int64_t until = 0;
  };
  struct LateStart {
    std::int64_t due = 0;
    Json body;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };

  std::int64_t Clock() const { return NowMs() - born_ + 1'000; }
  void EndRun(const std::string& task, const std::string& how);
  bool IsStale(const Json& body);
  void Extend(const Json& body);
  basilspur::net::HttpResponse Reply(unsigned status,
                                     const std::string& reason = "");
  basilspur::net::HttpResponse Start(const Json& body);
  basilspur::net::HttpResponse Stop(const Json& body);
  basilspur::net::asio::awaitable<basilspur::net::HttpResponse> Hold(Json body);

  World& world_;
  std::string id_;
  std::string rack_;
  std::int64_t hold_max_ms_;
  std::int64_t born_ = 0;
  int life_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t deadline_ = 0;
  std::int64_t ends_ = 0;
  std::int64_t lapsed_at_end_ = 0;  ///< Ends up to it came before a lapse.
  std::int64_t seq_ = 0;
  bool names_birth_ = false;
  std::int64_t born_wall_ms_ = 0;
  int late_percent_ = 0;
  std::set<std::string> delayed_;  ///< "TASK/RUN" whose first copy is late.
  std::vector<LateStart> late_;
  std::map<std::string, Run> running_;
  std::map<std::string, int> highest_run_;
  std::vector<End> ended_;
};

}  // namespace review

#endif  // BASILSPUR_REVIEW_STANDINS_3_WORKER_H_
