#include "standins/worker_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace basilspur::standins {

using Json = nlohmann::json;

static constexpr Millis kPollInterval(5);
/// Delay of a response that counts as lost: longer than any client's time-out.
static constexpr Millis kNoResponseDelay(10'000);

net::HttpResponse WorkerStandin::MakeReply(unsigned status,
                                           const std::string& reason) const {
  Json body = {{"clock_ms", Now().count}};
  if (!reason.empty()) body["reason"] = reason;
  net::HttpResponse response;
  response.status = status;
  response.content_type = "application/json";
  response.body = body.dump();
  return response;
}

bool WorkerStandin::IsStale(std::int64_t token) {
  if (token < highest_token_) return true;
  highest_token_ = token;
  return false;
}

void WorkerStandin::EndRun(const std::string& task, const std::string& result) {
  const auto found = running_.find(task);
  if (found == running_.end()) return;
  TaskHistory& history = histories_[task];
  ended_.push_back({++last_end_sequence_, task, found->second.run_number,
                    result, lease_losses_, history.starts_accepted});
  int& highest_run = highest_ended_run_[task];
  highest_run = std::max(highest_run, found->second.run_number);
  if (result == "done") ++history.runs_done;
  history.runs_on = nullptr;
  running_.erase(found);
}

int WorkerStandin::PercentDone(const ActiveRun& run) const {
  const std::int64_t duration =
      std::max<std::int64_t>((run.ends_at - run.starts_at).count, 1);
  return static_cast<int>(std::min<std::int64_t>(
      100 * (Now() - run.starts_at).count / duration, 99));
}

void WorkerStandin::EndDueRuns() {
  const bool lease_expired = Now().count > deadline_ms_;
  std::vector<std::pair<std::string, std::string>> due_runs;
  for (const auto& [task, run] : running_) {
    if (run.ends_at <= Now() && run.ends_at.count <= deadline_ms_) {
      due_runs.emplace_back(task, run.fails ? "failed" : "done");
    } else if (lease_expired) {
      due_runs.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, result] : due_runs) EndRun(task, result);
}

static std::int64_t TokenOf(const net::HttpRequest& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  return body.is_object() ? body.value("fence", 0L) : 0L;
}

net::asio::awaitable<net::HttpResponse> WorkerStandin::HandleRequest(
    net::HttpRequest request) {
  const std::int64_t token = TokenOf(request);
  net::HttpResponse response = MakeReply(503, "");
  if (!IsCutOffFrom(token)) response = co_await Handle(std::move(request));
  if (IsCutOffFrom(token)) co_await net::Sleep(kNoResponseDelay);
  co_return response;
}

net::asio::awaitable<net::HttpResponse> WorkerStandin::Handle(
    net::HttpRequest request) {
  EndDueRuns();
  if (request.headers["Basilspur-Expect-Instance"] != id_) {
    co_return MakeReply(421, "");
  }
  if (request.target == "/-/run-start") {
    net::HttpResponse response = Start(request.body);
    if (drop_start_responses) co_await net::Sleep(kNoResponseDelay);
    co_return response;
  }
  if (request.target == "/-/run-stop") co_return Stop(request.body);
  if (request.target == "/-/hold") co_return co_await RenewLease(request.body);
  co_return MakeReply(200, "");
}

void WorkerStandin::CheckStart(const std::string& task, int cpu_millis) {
  TaskHistory& history = histories_[task];
  // The other worker learns of the end of its lease with the next request only.
  if (history.runs_on) history.runs_on->EndDueRuns();
  if (history.runs_on) {
    violations.push_back(task + " starts on " + id_ + " while it runs on " +
                         history.runs_on->id_);
  }
  if (history.done_acknowledged) {
    violations.push_back(task + " starts on " + id_ +
                         " after its end was acknowledged");
  }
  int used = cpu_millis;
  for (const auto& [other, run] : running_) used += run.cpu_millis;
  if (used > kCpuMillis) {
    violations.push_back(task + " starts on " + id_ + " with " +
                         std::to_string(used) + " cpu millis in use");
  }
}

void WorkerStandin::ExtendLease(std::int64_t deadline_ms) {
  if (Now().count > deadline_ms_) ++lease_losses_;
  deadline_ms_ = std::max(deadline_ms_, deadline_ms);
}

void WorkerStandin::AcknowledgeEnds(std::int64_t last_seen) {
  std::erase_if(ended_, [&](const EndedRun& end) {
    if (end.sequence > last_seen) return false;
    // An end that was not read before the lease was lost may have been
    // replaced by another run.
    if (end.result != "done" || end.lease_losses != lease_losses_) return true;
    TaskHistory& history = histories_[end.task];
    history.done_acknowledged = true;
    if (history.starts_accepted > end.starts) {
      violations.push_back(end.task + " has started again after an end on " +
                           id_ + " that was acknowledged");
    }
    return true;
  });
}

net::HttpResponse WorkerStandin::Start(const std::string& body) {
  const Json command = Json::parse(body);
  const auto task = command.at("task").get<std::string>();
  const int run_number = command.at("run").get<int>();
  if (IsStale(command.at("fence").get<std::int64_t>())) {
    return MakeReply(409, "fence");
  }
  const auto deadline = command.at("deadline_ms").get<std::int64_t>();
  ExtendLease(deadline);
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.run_number == run_number) {
    return MakeReply(200, "");
  }
  if (found != running_.end() || run_number <= highest_ended_run_[task]) {
    return MakeReply(409, "old");
  }
  if (deadline <= Now().count) return MakeReply(409, "late");
  const auto payload = command.at("spec").get<std::string>();
  const bool fails = payload == "fail";
  std::istringstream numbers(fails ? "1" : payload);
  Millis work_time;
  int cpu_millis = 0;
  numbers >> work_time.count >> cpu_millis;
  CheckStart(task, cpu_millis);
  running_[task] = {run_number, Now(), Now() + work_time, fails, cpu_millis};
  ++histories_[task].starts_accepted;
  histories_[task].runs_on = this;
  return MakeReply(200, "");
}

net::HttpResponse WorkerStandin::Stop(const std::string& body) {
  const Json command = Json::parse(body);
  if (IsStale(command.at("fence").get<std::int64_t>())) {
    return MakeReply(409, "fence");
  }
  const auto task = command.at("task").get<std::string>();
  int& highest_run = highest_ended_run_[task];
  highest_run = std::max(highest_run, command.at("run").get<int>());
  EndRun(task, "stopped");
  return MakeReply(200, "");
}

net::asio::awaitable<net::HttpResponse> WorkerStandin::RenewLease(
    std::string body) {
  const Json command = Json::parse(body);
  if (IsStale(command.at("fence").get<std::int64_t>())) {
    co_return MakeReply(409, "fence");
  }
  ExtendLease(command.value("deadline_ms", 0L));
  AcknowledgeEnds(command.at("last_seen").get<std::int64_t>());
  Millis remaining_wait(command.value("wait_ms", 0L));
  for (EndDueRuns(); ended_.empty() && remaining_wait > Millis(0);
       EndDueRuns()) {
    co_await net::Sleep(kPollInterval);
    remaining_wait = remaining_wait - kPollInterval;
  }
  Json answer = {{"clock_ms", Now().count},
                 {"running", Json::array()},
                 {"finished", Json::array()}};
  for (const auto& [task, run] : running_) {
    answer["running"].push_back(
        {task, run.run_number, "", PercentDone(run), 0});
  }
  for (const EndedRun& end : ended_) {
    answer["finished"].push_back(
        {end.sequence, end.task, end.run_number, end.result, ""});
  }
  net::HttpResponse response;
  response.body = answer.dump();
  co_return response;
}

}  // namespace basilspur::standins
