#include "executor.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "net/timer.h"

namespace review {

using Json = nlohmann::json;

static constexpr Millis kPollInterval(5);
static constexpr std::int64_t kHoldMaxMs = 10'000;  // hold_max_ms
static constexpr std::int64_t kSaveMs = 500;        // save_s
static constexpr std::int64_t kRestoreMs = 600;     // restore_ms
static constexpr std::int64_t kGangMs = 3'000;      // gang_ms
static constexpr std::int64_t kStartupMs = 100;
static constexpr Millis kStopDuration(300);  // At most stop_ms.
static constexpr std::size_t kMaxListedEnds = 500;

static Work ParseWork(const std::string& spec) {
  Work work;
  std::istringstream words(spec);
  words >> work.work_ms;
  std::string word;
  while (words >> word) {
    if (word == "saves") work.saves = true;
    if (word.starts_with("gang=")) work.gang_size = std::stoi(word.substr(5));
  }
  return work;
}

Executor::Executor(Fleet& fleet, std::string id, std::string kind)
    : fleet_(fleet), id_(std::move(id)), kind_(std::move(kind)) {
  born_ms_ = clock_.Wall().count;
  clock_base_ = clock_.Monotonic() - Millis(1'000);
  fleet_.executors.push_back(this);
}

void Executor::StartAgain(const std::string& kind) {
  kind_ = kind;
  ++life_;
  born_ms_ = clock_.Wall().count;
  clock_base_ = clock_.Monotonic() - Millis(1'000);
  fence_ = deadline_ms_ = last_end_ = 0;
  highest_run_.clear();
  ended_.clear();
  up_ = true;
  fleet_.record->Write("up again " + id_ + " as kind " + kind);
}

net::HttpResponse Executor::Reply(unsigned status,
                                  const std::string& reason) const {
  Json body = {{"clock_ms", Now().count}, {"born", born_ms_}};
  if (!reason.empty()) body["reason"] = reason;
  net::HttpResponse response;
  response.status = status;
  response.content_type = "application/json";
  response.body = body.dump();
  return response;
}

bool Executor::IsStale(std::int64_t fence) {
  if (fence < fence_) return true;
  fence_ = fence;
  return false;
}

void Executor::Extend(std::int64_t deadline_ms) {
  deadline_ms_ =
      std::max(deadline_ms_, std::min(deadline_ms, Now().count + kHoldMaxMs));
}

std::int64_t Executor::ProgressOf(const ActiveRun& run) const {
  if (run.work_began == Millis(0)) return run.resumed_ms;
  return run.resumed_ms +
         std::max((Now() - run.work_began).count, std::int64_t{0});
}

/// Eight digits for the work that is saved, then eight of the job's id, as in
/// the pages' example. All members of a gang have done the same work.
std::string Executor::CheckpointOf(const std::string& task,
                                   const ActiveRun& run) const {
  if (!run.work.saves) return "";
  const std::int64_t saved = ProgressOf(run) / kSaveMs * kSaveMs;
  if (saved <= 0 || saved <= run.resumed_ms) return run.checkpoint;
  char text[24];
  std::snprintf(text, sizeof text, "%08llx",
                static_cast<unsigned long long>(saved));
  return text + task.substr(4, 8);
}

static std::string GangKey(const std::string& task) {
  return task.substr(0, task.rfind('.') + 1);
}

std::vector<std::pair<Executor*, std::string>> Executor::GangOf(
    const std::string& task, int run) const {
  std::vector<std::pair<Executor*, std::string>> members;
  for (Executor* executor : fleet_.executors) {
    for (const auto& [other, active] : executor->runs_) {
      if (other.starts_with(GangKey(task)) && active.run == run &&
          active.stops_at == Millis(0))
        members.emplace_back(executor, other);
    }
  }
  return members;
}

void Executor::EndRun(const std::string& task, const std::string& how) {
  const auto found = runs_.find(task);
  if (found == runs_.end()) return;
  const ActiveRun active = found->second;
  // A stop saves the work that was done until then.
  const std::string checkpoint =
      how == "done" ? "" : CheckpointOf(task, active);
  runs_.erase(found);
  ended_.push_back({++last_end_, task, active.run, how, checkpoint});
  highest_run_[task] = std::max(highest_run_[task], active.run);
  --fleet_.running[task];
  fleet_.last_run_at[task] = fleet_.record->Now();
  if (how == "done") ++fleet_.done[task];
  if (!fleet_.quiet)
    fleet_.record->Write("ended    " + task + " run " +
                         std::to_string(active.run) + " on " + id_ + ": " +
                         how + " checkpoint=" + checkpoint);
  if (active.work.gang_size == 0 || how == "broken" || how == "alone") return;
  const std::string others = how == "done" ? "done" : "broken";
  for (const auto& [executor, member] : GangOf(task, active.run))
    executor->EndRun(member, others);
}

void Executor::Crash() {
  up_ = false;
  if (!fleet_.quiet) fleet_.record->Write("crashed  " + id_);
  const auto runs = std::exchange(runs_, {});
  ended_.clear();
  for (const auto& [task, active] : runs) {
    --fleet_.running[task];
    fleet_.last_run_at[task] = fleet_.record->Now();
    if (active.work.gang_size == 0) continue;
    for (const auto& [executor, member] : GangOf(task, active.run))
      executor->EndRun(member, "broken");
  }
}

void Executor::Step() {
  std::vector<std::pair<std::string, std::string>> due;
  for (auto& [task, active] : runs_) {
    if (Now().count > deadline_ms_) {
      due.emplace_back(task, "lapsed");
      continue;
    }
    if (active.stops_at != Millis(0)) {
      if (Now() >= active.stops_at) due.emplace_back(task, "stopped");
      continue;
    }
    if (active.work_began == Millis(0)) {
      const auto members = GangOf(task, active.run);
      if (static_cast<int>(members.size()) >= active.work.gang_size) {
        for (const auto& [executor, member] : members) {
          ActiveRun& run = executor->runs_.at(member);
          run.work_began =
              Now() + Millis(run.checkpoint.empty() ? kStartupMs : kRestoreMs);
        }
      } else if ((Now() - active.arrived).count > kGangMs) {
        due.emplace_back(task, "alone");
      }
      continue;
    }
    if (active.work.work_ms > 0 && ProgressOf(active) >= active.work.work_ms)
      due.emplace_back(task, "done");
  }
  for (const auto& [task, how] : due) EndRun(task, how);
}

net::asio::awaitable<net::HttpResponse> Executor::HandleRequest(
    net::HttpRequest request) {
  // An executor that is down answers nothing; the server closes the channel.
  if (!up_) throw std::runtime_error("down");
  Step();
  if (request.headers["Basilspur-Expect-Instance"] != id_)
    co_return Reply(421, "");
  if (request.target == "/-/run-start") co_return StartRun(request.body);
  if (request.target == "/-/run-stop") co_return StopRun(request.body);
  if (request.target == "/-/hold") {
    // Not co_awaited in a condition, for old compilers.
    net::HttpResponse response = co_await Hold(std::move(request.body));
    co_return response;
  }
  co_return Reply(200, "");
}

net::HttpResponse Executor::StartRun(const std::string& body) {
  const Json order = Json::parse(body);
  const auto task = order.at("task").get<std::string>();
  const int run = order.at("run").get<int>();
  if (IsStale(order.at("fence").get<std::int64_t>()))
    return Reply(409, "fence");
  const auto deadline = order.at("deadline_ms").get<std::int64_t>();
  Extend(deadline);
  const auto found = runs_.find(task);
  if (found != runs_.end() && found->second.run == run) return Reply(200, "");
  if (found != runs_.end() || run <= highest_run_[task])
    return Reply(409, "old");
  if (deadline <= Now().count) return Reply(409, "late");
  ActiveRun active;
  active.run = run;
  active.work = ParseWork(order.at("spec").get<std::string>());
  active.arrived = Now();
  active.checkpoint = order.value("checkpoint", "");
  if (active.checkpoint.size() >= 8)
    active.resumed_ms = std::stoll(active.checkpoint.substr(0, 8), nullptr, 16);
  if (active.work.gang_size == 0)
    active.work_began =
        Now() + Millis(active.checkpoint.empty() ? kStartupMs : kRestoreMs);
  runs_[task] = active;
  ++fleet_.running[task];
  fleet_.starts.push_back(
      {fleet_.record->Now(), id_, kind_, task, run, active.checkpoint});
  if (!fleet_.quiet)
    fleet_.record->Write("started  " + task + " run " + std::to_string(run) +
                         " on " + id_ + " (kind " + kind_ +
                         ") checkpoint=" + active.checkpoint);
  return Reply(200, "");
}

net::HttpResponse Executor::StopRun(const std::string& body) {
  const Json order = Json::parse(body);
  if (IsStale(order.at("fence").get<std::int64_t>()))
    return Reply(409, "fence");
  const auto task = order.at("task").get<std::string>();
  const int run = order.at("run").get<int>();
  int& highest = highest_run_[task];
  highest = std::max(highest, run);
  const auto found = runs_.find(task);
  if (found != runs_.end() && found->second.run <= run &&
      found->second.stops_at == Millis(0)) {
    found->second.stops_at = Now() + kStopDuration;
    if (!fleet_.quiet)
      fleet_.record->Write("stopping " + task + " run " + std::to_string(run) +
                           " on " + id_);
  }
  return Reply(200, "");
}

net::asio::awaitable<net::HttpResponse> Executor::Hold(std::string body) {
  const Json order = Json::parse(body);
  if (IsStale(order.at("fence").get<std::int64_t>()))
    co_return Reply(409, "fence");
  if (order.contains("deadline_ms"))
    Extend(order.at("deadline_ms").get<std::int64_t>());
  const auto last_seen = order.at("last_seen").get<std::int64_t>();
  std::erase_if(ended_,
                [&](const End& end) { return end.number <= last_seen; });
  const int life = life_;
  Millis left(order.value("wait_ms", std::int64_t{0}));
  for (Step(); ended_.empty() && left > Millis(0); Step()) {
    co_await net::Sleep(kPollInterval);
    if (!up_ || life != life_) throw std::runtime_error("down");
    left = left - kPollInterval;
  }
  Json answer = {{"clock_ms", Now().count},
                 {"born", born_ms_},
                 {"running", Json::array()},
                 {"finished", Json::array()}};
  for (const auto& [task, active] : runs_) {
    if (active.stops_at != Millis(0)) continue;
    const std::int64_t progress = ProgressOf(active);
    const bool lasts = active.work.work_ms == 0;
    const std::int64_t percent =
        lasts
            ? (progress > 200 ? 100 : 0)
            : std::min<std::int64_t>(99, progress * 100 / active.work.work_ms);
    answer["running"].push_back(
        {task, active.run, CheckpointOf(task, active), percent, 0});
  }
  for (const End& end : ended_) {
    if (answer["finished"].size() >= kMaxListedEnds) break;
    answer["finished"].push_back(
        {end.number, end.task, end.run, end.how, end.checkpoint});
  }
  net::HttpResponse response;
  response.content_type = "application/json";
  response.body = answer.dump();
  co_return response;
}

}  // namespace review
