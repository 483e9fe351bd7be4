#ifndef BASILSPUR_REVIEW_STANDINS_2_EXECUTOR_H_
#define BASILSPUR_REVIEW_STANDINS_2_EXECUTOR_H_

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "net/http_server.h"

namespace basilspur::review {

/// One lifetime of an executor, by the users' pages: fence numbers, a lease of
/// all runs that is shortened to `hold_max`, numbered ends, and status 421 for
/// calls that are meant for another lifetime. It starts whatever it is told to
/// (`enforces_capacity` false). A task's spec is its duration in ms, or "lasts"
/// for one that runs until it is stopped and is at work after half a second. A
/// stop takes effect at once. While a file named as `record` with ".sick." and
/// the id behind it exists, the executor is unhealthy and refuses starts with
/// status 503.
///
/// Thread safety: only on the thread of its io_context.
class Executor {
 public:
  /// Appends a line for each start and each end to the file at `record`.
  Executor(std::string id, Millis hold_max, const std::string& record)
      : id_(std::move(id)),
        hold_max_(hold_max),
        record_(record, std::ios::app),
        sick_path_(record + ".sick." + id_) {}

  net::asio::awaitable<net::HttpResponse> HandleRequest(
      net::HttpRequest request) {
    EndDueRuns();
    const auto expected = request.headers.find("Basilspur-Expect-Instance");
    if (expected != request.headers.end() && expected->second != id_)
      co_return Reply(421);
    const Json call = Json::parse(request.body, nullptr, false);
    if (!call.is_object()) co_return Reply(400);
    const auto fence = call.value("fence", std::int64_t{0});
    if (fence < fence_) co_return Reply(409, "fence");
    fence_ = fence;
    if (request.target == "/-/run-start") co_return Start(call);
    if (request.target == "/-/run-stop") co_return Stop(call);
    if (request.target == "/-/hold") co_return co_await Hold(call);
    if (request.target == "/-/pace") co_return Reply(200);
    co_return Reply(404);
  }

  /// Ends the runs whose work is finished or whose lease has expired.
  void Tick() { EndDueRuns(); }
  /// Appends a line to the record.
  void Write(const std::string& line) {
    record_ << clock_.Wall().count << " " << id_ << " " << line << std::endl;
  }

 private:
  using Json = nlohmann::json;
  struct Run {
    int number = 0;
    Millis started;
    Millis work;
    bool lasts = false;
  };
  static constexpr Millis kStartup{500};
  struct End {
    std::int64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };

  Millis Now() const { return clock_.Monotonic(); }

  net::HttpResponse Reply(unsigned status, const std::string& reason = "") {
    Json body = {{"clock_ms", Now().count}};
    if (!reason.empty()) body["reason"] = reason;
    return MakeReply(status, body);
  }
  static net::HttpResponse MakeReply(unsigned status, const Json& body) {
    net::HttpResponse response;
    response.status = status;
    response.content_type = "application/json";
    response.body = body.dump();
    return response;
  }

  void EndRun(const std::string& task, const std::string& how) {
    const auto found = running_.find(task);
    if (found == running_.end()) return;
    const int run = found->second.number;
    ends_.push_back({++last_end_, task, run, how});
    highest_[task] = std::max(highest_[task], run);
    running_.erase(found);
    Write("ended " + task + " run " + std::to_string(run) + " " + how);
  }

  void EndDueRuns() {
    std::vector<std::pair<std::string, std::string>> due;
    for (const auto& [task, run] : running_) {
      const Millis done_at = run.started + run.work;
      if (!run.lasts && done_at <= Now() && done_at.count <= deadline_ms_) {
        due.emplace_back(task, "done");
      } else if (Now().count > deadline_ms_) {
        due.emplace_back(task, "lapsed");
      }
    }
    for (const auto& [task, how] : due) EndRun(task, how);
  }

  void Extend(std::int64_t deadline_ms) {
    deadline_ms_ = std::max(deadline_ms_,
                            std::min(deadline_ms, (Now() + hold_max_).count));
  }

  net::HttpResponse Start(const Json& call) {
    const auto task = call.at("task").get<std::string>();
    const int run = call.at("run").get<int>();
    const auto deadline = call.at("deadline_ms").get<std::int64_t>();
    const auto found = running_.find(task);
    const bool is_there = found != running_.end();
    if (is_there && found->second.number == run) return Reply(200);
    if (is_there || run <= highest_[task]) {
      Extend(deadline);
      return Reply(409, "old");
    }
    if (deadline <= Now().count) return Reply(409, "late");
    if (std::filesystem::exists(sick_path_)) {
      Write("refused " + task + " run " + std::to_string(run));
      return Reply(503);
    }
    Extend(deadline);
    const auto spec = call.at("spec").get<std::string>();
    const bool lasts = spec == "lasts";
    const Millis work = lasts ? kStartup : Millis(std::stoll(spec));
    running_[task] = {run, Now(), work, lasts};
    Write("started " + task + " run " + std::to_string(run));
    return Reply(200);
  }

  net::HttpResponse Stop(const Json& call) {
    const auto task = call.at("task").get<std::string>();
    const int run = call.at("run").get<int>();
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.number <= run)
      EndRun(task, "stopped");
    highest_[task] = std::max(highest_[task], run);
    return Reply(200);
  }

  net::asio::awaitable<net::HttpResponse> Hold(Json call) {
    Extend(call.value("deadline_ms", std::int64_t{0}));
    const auto last_seen = call.value("last_seen", std::int64_t{0});
    std::erase_if(ends_,
                  [&](const End& end) { return end.number <= last_seen; });
    const Millis until = Now() + Millis(call.value("wait_ms", 0));
    for (EndDueRuns(); ends_.empty() && Now() < until; EndDueRuns())
      co_await net::Sleep(Millis(5));
    Json body = {{"clock_ms", Now().count},
                 {"running", Json::array()},
                 {"finished", Json::array()}};
    for (const auto& [task, run] : running_) {
      const auto worked = (Now() - run.started).count;
      const auto percent =
          run.work.count > 0 ? 100 * worked / run.work.count : 99;
      const std::int64_t most = run.lasts ? 100 : 99;
      body["running"].push_back(
          {task, run.number, "", std::min<std::int64_t>(percent, most), 0});
    }
    for (const End& end : ends_)
      body["finished"].push_back({end.number, end.task, end.run, end.how, ""});
    co_return MakeReply(200, body);
  }

  std::string id_;
  Millis hold_max_;
  std::ofstream record_;
  std::string sick_path_;
  SystemClock clock_;
  std::int64_t fence_ = 0;
  std::int64_t deadline_ms_ = 0;
  std::int64_t last_end_ = 0;
  std::map<std::string, Run> running_;
  std::map<std::string, int> highest_;  ///< Run stopped or ended, by task.
  std::vector<End> ends_;
};

}  // namespace basilspur::review

#endif  // BASILSPUR_REVIEW_STANDINS_2_EXECUTOR_H_
