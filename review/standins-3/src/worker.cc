#include "worker.h"

#include <algorithm>
#include <stdexcept>

namespace review {

namespace net = basilspur::net;
using basilspur::Millis;

static constexpr Millis kPoll(10);
static constexpr Millis kLost(15'000);

static std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Worker::Entry(const std::string& address,
                          const std::string& state) {
  Json entry = {{"service", "s"},
                {"address", address},
                {"zone", "z1"},
                {"version", "1"},
                {"slots", 8},
                {"state", state},
                {"cold_left_ms", 0},
                {"seq", ++seq_},
                {"room", {{"cpu", kCpu}, {"mem_mb", kMemMb}, {"gpu", 0}}},
                {"labels", {"a", rack_}}};
  if (born_wall_ms_ == 0) born_wall_ms_ = WallMs();
  if (names_birth_) entry["born"] = born_wall_ms_;
  return entry.dump();
}

void Worker::Crash(const std::string& id) {
  world_.Note("executor " + id_ + " crashes and begins again as " + id);
  std::vector<std::string> tasks;
  for (const auto& [task, run] : running_) tasks.push_back(task);
  for (const std::string& task : tasks) EndRun(task, "crashed");
  id_ = id;
  ++life_;
  born_ = NowMs();
  born_wall_ms_ = WallMs();
  fence_ = deadline_ = ends_ = lapsed_at_end_ = 0;
  highest_run_.clear();
  ended_.clear();
}

void Worker::EndRun(const std::string& task, const std::string& how) {
  const Run run = running_.at(task);
  running_.erase(task);
  int& highest = highest_run_[task];
  highest = std::max(highest, run.number);
  ended_.push_back({++ends_, task, run.number, how});
  world_.OnEnd(task, run.number, how, id_);
}

void Worker::Advance() {
  const std::int64_t now = Clock();
  const bool lapsed = deadline_ > 0 && now > deadline_;
  std::vector<std::pair<std::string, std::string>> due;
  for (const auto& [task, run] : running_) {
    if (run.until <= std::min(now, deadline_)) {
      due.emplace_back(task, "done");
    } else if (lapsed) {
      due.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : due) EndRun(task, how);
  if (lapsed) lapsed_at_end_ = ends_;
}

net::HttpResponse Worker::Reply(unsigned status, const std::string& reason) {
  Json body = {{"clock_ms", Clock()}};
  if (!reason.empty()) body["reason"] = reason;
  net::HttpResponse response;
  response.status = status;
  response.content_type = "application/json";
  response.body = body.dump();
  return response;
}

bool Worker::IsStale(const Json& body) {
  const auto fence = body.value("fence", std::int64_t{0});
  if (fence < fence_) return true;
  fence_ = fence;
  return false;
}

void Worker::Extend(const Json& body) {
  const auto deadline = body.value("deadline_ms", std::int64_t{0});
  deadline_ = std::max(deadline_, std::min(deadline, Clock() + hold_max_ms_));
}

net::HttpResponse Worker::Start(const Json& body) {
  if (IsStale(body)) return Reply(409, "fence");
  const auto task = body.at("task").get<std::string>();
  const int number = body.at("run").get<int>();
  const bool late = body.at("deadline_ms").get<std::int64_t>() <= Clock();
  Extend(body);
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.number == number)
    return Reply(200);
  if (found != running_.end() || number <= highest_run_[task])
    return Reply(409, "old");
  if (late) return Reply(409, "late");
  const auto spec = body.at("spec").get<std::string>();
  running_[task] = {number, Clock(), Clock() + std::stoll(spec)};
  world_.OnStart(task, number, spec, id_);
  return Reply(200);
}

net::HttpResponse Worker::Stop(const Json& body) {
  if (IsStale(body)) return Reply(409, "fence");
  const auto task = body.at("task").get<std::string>();
  const int number = body.at("run").get<int>();
  int& highest = highest_run_[task];
  highest = std::max(highest, number);
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.number <= number)
    EndRun(task, "stopped");
  return Reply(200);
}

net::asio::awaitable<net::HttpResponse> Worker::Hold(Json body) {
  if (IsStale(body)) co_return Reply(409, "fence");
  Extend(body);
  const auto last_seen = body.value("last_seen", std::int64_t{0});
  std::erase_if(ended_, [&](const End& end) {
    if (end.number > last_seen) return false;
    if (end.number > lapsed_at_end_) world_.OnNoted(end.task, end.run, end.how);
    return true;
  });
  const auto wait = body.value("wait_ms", std::int64_t{0});
  const std::int64_t until = NowMs() + wait;
  const int life = life_;
  for (Advance(); ended_.empty() && NowMs() < until; Advance()) {
    co_await net::Sleep(kPoll);
    if (life != life_) throw std::runtime_error("crashed");
  }
  Json answer = {{"clock_ms", Clock()},
                 {"running", Json::array()},
                 {"finished", Json::array()}};
  for (const auto& [task, run] : running_) {
    const std::int64_t length = std::max<std::int64_t>(run.until - run.from, 1);
    const auto percent =
        std::min<std::int64_t>(100 * (Clock() - run.from) / length, 99);
    answer["running"].push_back({task, run.number, "", percent, 1'000});
  }
  if (names_birth_) answer["born"] = born_wall_ms_;
  for (const End& end : ended_) {
    if (answer["finished"].size() == 500) break;
    answer["finished"].push_back({end.number, end.task, end.run, end.how, ""});
  }
  net::HttpResponse response;
  response.content_type = "application/json";
  response.body = answer.dump();
  co_return response;
}

void Worker::CarryOutLate() {
  std::vector<Json> due;
  std::erase_if(late_, [&](const LateStart& start) {
    if (NowMs() < start.due) return false;
    // Without a process nobody takes it.
    if (mode == Mode::kUp) due.push_back(start.body);
    return true;
  });
  for (const Json& body : due) {
    Advance();
    const net::HttpResponse response = Start(body);
    world_.Note("late start of " + body.at("task").get<std::string>() + "/" +
                body.at("run").dump() + " at " + id_ + ": " +
                std::to_string(response.status) + " " + response.body);
  }
}

net::asio::awaitable<net::HttpResponse> Worker::Handle(
    net::HttpRequest request) {
  if (mode == Mode::kDown) throw std::runtime_error("no process");
  if (mode == Mode::kSilent) {
    co_await net::Sleep(kLost);
    throw std::runtime_error("no answer");
  }
  Advance();
  if (request.headers["Basilspur-Expect-Instance"] != id_) co_return Reply(421);
  const Json body = Json::parse(request.body);
  if (request.target == "/-/run-start" && rand() % 100 < late_percent_) {
    const std::string key =
        body.at("task").get<std::string>() + "/" + body.at("run").dump();
    if (delayed_.insert(key).second) {
      world_.Note("the start of " + key + " gets no answer from " + id_);
      late_.push_back({NowMs() + 2'000 + rand() % 10'000, body});
      co_await net::Sleep(kLost);
      throw std::runtime_error("no answer");
    }
  }
  net::HttpResponse response = Reply(200);
  if (request.target == "/-/run-start") response = Start(body);
  if (request.target == "/-/run-stop") response = Stop(body);
  if (request.target == "/-/pace" && IsStale(body))
    response = Reply(409, "fence");
  if (request.target == "/-/hold") response = co_await Hold(body);
  co_return response;
}

}  // namespace review
