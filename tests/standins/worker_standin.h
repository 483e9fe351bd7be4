#ifndef BASILSPUR_TESTS_STANDINS_WORKER_STANDIN_H_
#define BASILSPUR_TESTS_STANDINS_WORKER_STANDIN_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "net/http_message.h"
#include "net/http_server.h"

namespace basilspur::standins {

/// What a worker has seen of one task, for the tests' checks.
struct TaskHistory {
  int starts = 0;
  int done = 0;
};

/// Stands in for an executor of the users' platform that runs tasks under a
/// lease. A task's payload is how long it works, in ms; "fail" fails.
///
/// Thread safety: only on its io_context's thread; the switches from any.
class WorkerStandin {
 public:
  WorkerStandin(std::string id, std::map<std::string, TaskHistory>& histories)
      : id_(std::move(id)), histories_(histories) {}

  net::asio::awaitable<net::HttpResponse> Answer(net::HttpRequest request);

  /// True if it ever ran more than the room allows, or a task twice at once.
  bool broke_rules = false;
  std::atomic<bool> lose_start_answers = false;

 private:
  struct Run {
    int number = 0;
    Millis ends;
    bool fails = false;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };

  Millis Now() const { return clock_.Monotonic(); }
  void Advance();
  void Finish(const std::string& task, const std::string& how);
  net::HttpResponse Start(const std::string& body);
  net::HttpResponse Stop(const std::string& body);
  net::asio::awaitable<net::HttpResponse> Hold(std::string body);
  net::HttpResponse Reply(unsigned status, const std::string& reason) const;
  bool IsStale(std::int64_t token);

  std::string id_;
  std::map<std::string, TaskHistory>& histories_;
  SystemClock clock_;
  std::int64_t token_ = 0;
  std::int64_t deadline_ms_ = 0;
  std::int64_t last_end_ = 0;
  std::map<std::string, Run> running_;
  std::map<std::string, int> highest_ended_;
  std::vector<End> ended_;
};

}  // namespace basilspur::standins

#endif  // BASILSPUR_TESTS_STANDINS_WORKER_STANDIN_H_
