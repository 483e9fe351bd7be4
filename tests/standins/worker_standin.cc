#include "standins/worker_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace basilspur::standins {

using Json = nlohmann::json;

static constexpr Millis kLookAgain(5);
static constexpr Millis kNever(10'000);

net::HttpResponse WorkerStandin::Reply(unsigned status,
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
  if (token < token_) return true;
  token_ = token;
  return false;
}

void WorkerStandin::Finish(const std::string& task, const std::string& how) {
  const auto found = running_.find(task);
  if (found == running_.end()) return;
  ended_.push_back({++last_end_, task, found->second.number, how});
  int& highest = highest_ended_[task];
  highest = std::max(highest, found->second.number);
  if (how == "done") ++histories_[task].done;
  running_.erase(found);
}

void WorkerStandin::Advance() {
  const bool lapsed = Now().count > deadline_ms_;
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : running_) {
    if (run.ends <= Now() && run.ends.count <= deadline_ms_) {
      over.emplace_back(task, run.fails ? "failed" : "done");
    } else if (lapsed) {
      over.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : over) Finish(task, how);
}

net::asio::awaitable<net::HttpResponse> WorkerStandin::Answer(
    net::HttpRequest request) {
  Advance();
  if (request.headers["Basilspur-Expect-Instance"] != id_) {
    co_return Reply(421, "");
  }
  if (request.target == "/-/run-start") {
    net::HttpResponse response = Start(request.body);
    if (lose_start_answers) co_await net::Sleep(kNever);
    co_return response;
  }
  if (request.target == "/-/run-stop") co_return Stop(request.body);
  if (request.target == "/-/hold") co_return co_await Hold(request.body);
  co_return Reply(200, "");
}

net::HttpResponse WorkerStandin::Start(const std::string& body) {
  const Json order = Json::parse(body);
  const auto task = order.at("task").get<std::string>();
  const int number = order.at("run").get<int>();
  if (IsStale(order.at("fence").get<std::int64_t>())) {
    return Reply(409, "fence");
  }
  const auto deadline = order.at("deadline_ms").get<std::int64_t>();
  deadline_ms_ = std::max(deadline_ms_, deadline);
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.number == number) {
    return Reply(200, "");
  }
  if (found != running_.end() || number <= highest_ended_[task]) {
    return Reply(409, "old");
  }
  if (deadline <= Now().count) return Reply(409, "late");
  const auto payload = order.at("spec").get<std::string>();
  const bool fails = payload == "fail";
  const Millis work(fails ? 1 : std::stoll(payload));
  running_[task] = {number, Now() + work, fails};
  ++histories_[task].starts;
  return Reply(200, "");
}

net::HttpResponse WorkerStandin::Stop(const std::string& body) {
  const Json order = Json::parse(body);
  if (IsStale(order.at("fence").get<std::int64_t>())) {
    return Reply(409, "fence");
  }
  const auto task = order.at("task").get<std::string>();
  int& highest = highest_ended_[task];
  highest = std::max(highest, order.at("run").get<int>());
  Finish(task, "stopped");
  return Reply(200, "");
}

net::asio::awaitable<net::HttpResponse> WorkerStandin::Hold(std::string body) {
  const Json order = Json::parse(body);
  if (IsStale(order.at("fence").get<std::int64_t>())) {
    co_return Reply(409, "fence");
  }
  deadline_ms_ = std::max(deadline_ms_, order.value("deadline_ms", 0L));
  const std::int64_t seen = order.at("last_seen").get<std::int64_t>();
  std::erase_if(ended_, [&](const End& end) { return end.number <= seen; });
  Millis left(order.value("wait_ms", 0L));
  for (Advance(); ended_.empty() && left > Millis(0); Advance()) {
    co_await net::Sleep(kLookAgain);
    left = left - kLookAgain;
  }
  Json answer = {{"clock_ms", Now().count},
                 {"running", Json::array()},
                 {"finished", Json::array()}};
  for (const auto& [task, run] : running_) {
    answer["running"].push_back({task, run.number, "", 50, 0});
  }
  for (const End& end : ended_) {
    answer["finished"].push_back({end.number, end.task, end.run, end.how, ""});
  }
  net::HttpResponse response;
  response.body = answer.dump();
  co_return response;
}

}  // namespace basilspur::standins
