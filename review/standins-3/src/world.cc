#include "world.h"

#include <iostream>

namespace review {

std::int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

static std::string Stamp() {
  std::string text = std::to_string(NowMs());
  return std::string(text.size() < 7 ? 7 - text.size() : 0, ' ') + text + " ";
}

void World::Note(const std::string& text) {
  const std::lock_guard lock(mutex_);
  record_ << Stamp() << text << "\n" << std::flush;
}

void World::Break(const std::string& rule, const std::string& text) {
  const std::lock_guard lock(mutex_);
  broken_ = true;
  record_ << Stamp() << "BROKEN " << rule << ": " << text << "\n" << std::flush;
  std::cout << "BROKEN " << rule << ": " << text << std::endl;
}

bool World::IsBroken() {
  const std::lock_guard lock(mutex_);
  return broken_;
}

void World::AddJob(const std::string& id, const Json& body) {
  const std::lock_guard lock(mutex_);
  jobs_[id] = body;
}

Json World::JobOf(const std::string& id) {
  const std::lock_guard lock(mutex_);
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? Json() : found->second;
}

static std::string JobIn(const std::string& task) {
  return task.substr(0, task.find('.'));
}

void World::OnStart(const std::string& task, int run, const std::string& spec,
                    const std::string& worker) {
  const Json job = JobOf(JobIn(task));
  if (job.is_null()) {
    Break("UNASKED", task + " was started, and nobody sent it");
  } else if (job.at("spec") != spec) {
    Break("UNASKED", task + " was started with another spec");
  }
  std::string twice;
  {
    const std::lock_guard lock(mutex_);
    TaskState& state = tasks_[task];
    if (!state.runs.empty()) twice = " while " + *state.runs.begin() + " runs";
    if (state.noted_at >= 0) twice += " after its end `done` was noted";
    ++running_[JobIn(task)];
    used_cpu_ += CpuOf(task);
    used_.emplace_back(NowMs(), used_cpu_);
    state.runs.insert(worker + "/" + std::to_string(run));
    ++state.starts;
  }
  Note("start " + task + " run=" + std::to_string(run) + " on " + worker);
  if (!twice.empty())
    Break("TWICE", task + " run=" + std::to_string(run) + " starts on " +
                       worker + twice);
}

void World::OnEnd(const std::string& task, int run, const std::string& how,
                  const std::string& worker) {
  {
    const std::lock_guard lock(mutex_);
    TaskState& state = tasks_[task];
    if (state.runs.erase(worker + "/" + std::to_string(run)) > 0) {
      used_cpu_ -= CpuOf(task);
      used_.emplace_back(NowMs(), used_cpu_);
      if (--running_[JobIn(task)] == 0) idle_since_[JobIn(task)] = NowMs();
    }
    if (how == "failed") ++state.failed;
    if (how == "done") {
      ++state.done;
      state.starts_at_done[run] = state.starts;
    }
  }
  Note("end " + how + " " + task + " run=" + std::to_string(run) + " on " +
       worker);
}

void World::OnNoted(const std::string& task, int run, const std::string& how) {
  if (how != "done") return;
  bool twice = false;
  {
    const std::lock_guard lock(mutex_);
    TaskState& state = tasks_[task];
    if (state.noted_at < 0) state.noted_at = NowMs();
    twice = state.starts > state.starts_at_done[run];
  }
  if (twice)
    Break("TWICE", task + " had started again when its end `done` (run " +
                       std::to_string(run) + ") was noted");
}

/// The step of a task named "JOB.K.STEP.INDEX".
static int StepOf(const std::string& task) {
  const std::size_t occurrence = task.find('.') + 1;
  return std::stoi(task.substr(task.find('.', occurrence) + 1));
}

std::int64_t World::CpuOf(const std::string& task) const {
  const auto job = jobs_.find(JobIn(task));
  if (job == jobs_.end()) return 0;
  return job->second.at("steps").at(StepOf(task)).value("cpu", 0);
}

std::int64_t World::IdleMs(const std::string& job) {
  const std::lock_guard lock(mutex_);
  if (running_[job] > 0) return 0;
  const auto since = idle_since_.find(job);
  return NowMs() - (since == idle_since_.end() ? 0 : since->second);
}

std::int64_t World::UsedCpu() {
  const std::lock_guard lock(mutex_);
  return used_cpu_;
}

std::int64_t World::BelowMs(std::int64_t limit) {
  const std::lock_guard lock(mutex_);
  std::int64_t since = 0;
  for (const auto& [at, sum] : used_) {
    if (sum >= limit) since = -1;
    if (sum < limit && since < 0) since = at;
  }
  return since < 0 ? 0 : NowMs() - since;
}

int World::CountEnds(const std::string& job, const std::string& how) {
  const std::lock_guard lock(mutex_);
  int count = 0;
  for (const auto& [task, state] : tasks_) {
    if (JobIn(task) != job) continue;
    count += how == "done" ? state.done : state.failed;
  }
  return count;
}

}  // namespace review
