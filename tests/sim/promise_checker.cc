#include "sim/promise_checker.h"

#include <algorithm>

namespace basilspur::sim {

/// How long a task that lasts may be without a run in a calm period.
static constexpr Millis kMaxGapOfLongRunning(9'000);
/// How long a job may have nothing running while there is room for it.
static constexpr Millis kMaxIdle(3'000);
/// A task that has ended this many VMs may be given up.
static constexpr int kCrashesToGiveUp = 2;
/// One that has ended this many must not be started that many times more.
static constexpr int kMaxCrashes = 3;
static constexpr int kStartsTooMany = 3;
/// A task of a step marked `speculative` has at most one copy at a time.
static constexpr std::size_t kMaxRunsOfMarkedTask = 2;
/// The other run of a task that is done is gone after this time, which is
/// cancel_ms.
static constexpr Millis kMaxTimeBesideDone(4'000);

void PromiseChecker::Report(const std::string& violation) {
  trace_.Add("VIOLATION " + violation);
  violations_.push_back(violation);
}

void PromiseChecker::OnSubmit(const std::string& job,
                              const jobs::JobSpec& spec) {
  specs_.emplace(job, spec);
}

void PromiseChecker::OnAccepted(const std::string& job) {
  if (accepted_.insert(job).second) trace_.Add("accepted " + job);
}

bool PromiseChecker::AllDone(const std::string& job, int step) const {
  const jobs::StepSpec& spec = specs_.at(job).steps[step];
  for (int index = 0; index < spec.count; ++index) {
    const auto found = tasks_.find({job, 0, step, index});
    if (found == tasks_.end() || found->second.done.empty()) return false;
  }
  return true;
}

bool PromiseChecker::AllDoneForGood(const std::string& job, int step) const {
  const jobs::StepSpec& spec = specs_.at(job).steps[step];
  for (int index = 0; index < spec.count; ++index) {
    const auto found = tasks_.find({job, 0, step, index});
    if (found == tasks_.end()) return false;
    const std::vector<DoneEnd>& ends = found->second.done;
    const bool counts = std::any_of(
        ends.begin(), ends.end(),
        [](const DoneEnd& end) { return end.acknowledged && !end.lapsed; });
    if (!counts) return false;
  }
  return true;
}

void PromiseChecker::OnShown(const std::string& job, cell::ReplyKind state) {
  if (state == cell::ReplyKind::kNoSuchJob && accepted_.contains(job))
    Report("LOST: accepted job " + job + " is shown as unknown");
  if (state == cell::ReplyKind::kFailed) shown_as_failed_.insert(job);
  if (state == cell::ReplyKind::kFailed && !MayBeGivenUp(job))
    Report("LOST: job " + job + " is shown as failed without cause");
  if (state != cell::ReplyKind::kDone) return;
  shown_as_done_.insert(job);
  for (std::size_t step = 0; step < specs_.at(job).steps.size(); ++step) {
    if (AllDone(job, static_cast<int>(step))) continue;
    Report("MIXED: job " + job + " is shown as done, step " +
           std::to_string(step) + " is not");
  }
}

void PromiseChecker::CheckDependencies(const jobs::TaskRef& task) {
  for (const int needed : specs_.at(task.job).steps[task.step].dependencies) {
    if (AllDone(task.job, needed)) continue;
    Report("ORDER: " + task.ToString() + " started before step " +
           std::to_string(needed) + " was done");
  }
}

void PromiseChecker::OnStart(const std::string& vm, const jobs::TaskRef& task,
                             int run, bool fits, bool sender_in_touch) {
  const std::string text =
      task.ToString() + " run=" + std::to_string(run) + " vm=" + vm;
  trace_.Add("start " + text);
  if (!specs_.contains(task.job)) {
    Report("UNASKED: " + text);
    return;
  }
  if (refused_.contains(task.job)) Report("REFUSED, yet started: " + text);
  TaskState& state = tasks_[task];
  if (!state.runs.empty()) ++starts_beside_others_;
  const bool may_be_copy = MayHaveCopies(task) &&
                           state.runs.size() < kMaxRunsOfMarkedTask &&
                           !state.runs.contains(vm);
  for (const auto& [other, number] : state.runs) {
    if (may_be_copy) break;
    Report("TWICE: " + text + " while run=" + std::to_string(number) +
           " is on vm=" + other);
  }
  for (const DoneEnd& end : state.done) {
    if (!end.acknowledged || end.lapsed) continue;
    Report("TWICE: " + text + " after its acknowledged end on vm=" + end.vm);
  }
  if (!fits) Report("LIMIT: " + text);
  if (state.crashes >= kMaxCrashes && sender_in_touch &&
      ++state.starts_after_crashes == kStartsTooMany) {
    Report("BUDGET: " + text + " after " + std::to_string(state.crashes) +
           " crashed VMs");
  }
  CheckDependencies(task);
  state.runs[vm] = run;
  ++state.starts;
  state.last_start = clock_.Monotonic();
  state.last_start_text = text;
}

void PromiseChecker::OnDataCenterClosed(const std::string& data_center) {
  trace_.Add("closed data center " + data_center);
  closed_at_.try_emplace(data_center, clock_.Monotonic());
}

void PromiseChecker::OnDataCenterOpened(const std::string& data_center) {
  trace_.Add("opened data center " + data_center);
  closed_at_.erase(data_center);
}

void PromiseChecker::OnListing(const std::string& vm, bool draining) {
  if (draining) {
    drains_since_.try_emplace(vm, clock_.Monotonic());
  } else {
    drains_since_.erase(vm);
  }
}

void PromiseChecker::OnStartByKnowing(const std::string& vm,
                                      const jobs::TaskRef& task) {
  const auto drains = drains_since_.find(vm);
  if (drains == drains_since_.end()) return;
  const Millis age = clock_.Monotonic() - drains->second;
  if (age <= kDrainBound) return;
  Report("DRAIN: " + task.ToString() + " started on vm=" + vm + " " +
         std::to_string(age.count) + " ms after it began to drain");
}

void PromiseChecker::OnStartIn(const std::string& data_center,
                               const std::string& vm,
                               const jobs::TaskRef& task) {
  const auto closed = closed_at_.find(data_center);
  if (closed == closed_at_.end()) return;
  const Millis age = clock_.Monotonic() - closed->second;
  if (age <= kClosureBound) return;
  Report("EVACUATED: " + task.ToString() + " started on vm=" + vm + " " +
         std::to_string(age.count) + " ms after " + data_center +
         " was closed");
}

int PromiseChecker::StartsOf(const jobs::TaskRef& task) const {
  const auto found = tasks_.find(task);
  return found == tasks_.end() ? 0 : found->second.starts;
}

void PromiseChecker::OnEnd(const std::string& vm,
                           const jobs::EndedRunReport& end) {
  trace_.Add("end " + end.task.ToString() + " run=" + std::to_string(end.run) +
             " vm=" + vm + " how=" + std::to_string(static_cast<int>(end.end)) +
             " number=" + std::to_string(end.number));
  TaskState& state = tasks_[end.task];
  state.runs.erase(vm);
  state.last_run_end = clock_.Monotonic();
  if (expects_timely_stops_ && WasDoneLongAgo(state))
    Report("UNASKED: " + end.task.ToString() + " ran after it was done");
  if (end.end == jobs::RunEnd::kFailed) ++state.failures;
  if (end.end != jobs::RunEnd::kDone) return;
  state.done.push_back({vm, end.number, clock_.Monotonic()});
}

void PromiseChecker::OnAcknowledged(const std::string& vm,
                                    const jobs::EndedRunReport& end) {
  if (end.end != jobs::RunEnd::kDone) return;
  trace_.Add("acknowledged " + end.task.ToString() + " vm=" + vm +
             " number=" + std::to_string(end.number));
  TaskState& state = tasks_[end.task];
  for (DoneEnd& done : state.done) {
    if (done.vm != vm || done.number != end.number) continue;
    done.acknowledged = true;
    // A copy may start before the end of the first run is acknowledged.
    if (!done.lapsed && state.last_start > done.at &&
        !MayHaveCopies(end.task)) {
      Report("TWICE: " + state.last_start_text + " after its end on vm=" + vm +
             ", acknowledged later");
    }
  }
}

void PromiseChecker::OnLapse(const std::string& vm) {
  trace_.Add("lapse vm=" + vm);
  for (auto& [task, state] : tasks_) {
    for (DoneEnd& done : state.done) {
      if (done.vm == vm && !done.acknowledged) done.lapsed = true;
    }
  }
}

void PromiseChecker::OnCrash(const std::string& vm, const jobs::TaskRef& task) {
  trace_.Add("crash vm=" + vm + " by " + task.ToString());
  ++tasks_[task].crashes;
}

bool PromiseChecker::MayBeGivenUp(const std::string& job) const {
  for (auto it = tasks_.lower_bound({job, 0, 0, 0});
       it != tasks_.end() && it->first.job == job; ++it) {
    if (it->second.crashes >= kCrashesToGiveUp) return true;
  }
  return false;
}

void PromiseChecker::OnVmGone(const std::string& vm) {
  trace_.Add("gone vm=" + vm);
  for (auto& [task, state] : tasks_) {
    if (state.runs.erase(vm) > 0) state.last_run_end = clock_.Monotonic();
    // The next worker of the VM uses the numbers of these ends again.
    for (DoneEnd& done : state.done) {
      if (done.vm == vm) done.vm += " (ended)";
    }
  }
}

bool PromiseChecker::RanLately(const std::string& job) const {
  const Millis now = clock_.Monotonic();
  for (auto it = tasks_.lower_bound({job, 0, 0, 0});
       it != tasks_.end() && it->first.job == job; ++it) {
    const TaskState& task = it->second;
    if (!task.runs.empty()) return true;
    if (now - task.last_run_end < kMaxIdle && task.starts > 0) return true;
  }
  return false;
}

bool PromiseChecker::WaitsDespiteRoom(
    const std::string& job,
    const std::function<bool(const records::Resources&)>& has_room) const {
  if (RanLately(job)) return false;
  const jobs::JobSpec& spec = specs_.at(job);
  for (std::size_t step = 0; step < spec.steps.size(); ++step) {
    if (AllDoneForGood(job, static_cast<int>(step))) continue;
    return has_room(spec.steps[step].need);
  }
  // All tasks have ended, and the job has not.
  return true;
}

void PromiseChecker::OnCancelled(const std::string& job) {
  trace_.Add("cancelled " + job);
  cancelled_[job] = clock_.Monotonic();
}

bool PromiseChecker::IsRunning(const jobs::TaskRef& task) const {
  const auto found = tasks_.find(task);
  return found != tasks_.end() && !found->second.runs.empty();
}

void PromiseChecker::CheckCancelled(const std::string& job,
                                    cell::ReplyKind state) {
  if (state != cell::ReplyKind::kWasCancelled &&
      state != cell::ReplyKind::kDone) {
    Report("MIXED: cancelled job " + job + " is shown in state " +
           std::to_string(static_cast<int>(state)));
  }
  ReportRunsOf(job);
}

void PromiseChecker::ReportRunsOf(const std::string& job) {
  for (auto it = tasks_.lower_bound({job, 0, 0, 0});
       it != tasks_.end() && it->first.job == job; ++it) {
    if (it->second.runs.empty()) continue;
    Report("UNASKED: " + it->first.ToString() +
           " runs after its job was cancelled");
  }
}

bool PromiseChecker::CheckStopsOfCancelled(Millis limit) {
  const std::size_t known = violations_.size();
  for (const auto& [job, confirmed_at] : cancelled_) {
    if (clock_.Monotonic() - confirmed_at >= limit) ReportRunsOf(job);
  }
  return violations_.size() == known;
}

bool PromiseChecker::WasDoneLongAgo(const TaskState& task) const {
  const Millis now = clock_.Monotonic();
  return std::any_of(task.done.begin(), task.done.end(),
                     [&](const DoneEnd& end) {
                       return end.acknowledged && !end.lapsed &&
                              now - end.at > kMaxTimeBesideDone;
                     });
}

void PromiseChecker::CheckCopies(const std::string& job) {
  for (auto it = tasks_.lower_bound({job, 0, 0, 0});
       it != tasks_.end() && it->first.job == job; ++it) {
    const TaskState& task = it->second;
    const bool done = WasDoneLongAgo(task);
    if (!done || task.runs.empty() || !MayHaveCopies(it->first)) continue;
    Report("UNASKED: " + it->first.ToString() + " runs after it was done");
  }
}

bool PromiseChecker::MayHaveCopies(const jobs::TaskRef& task) const {
  return specs_.at(task.job).steps[task.step].speculative;
}

void PromiseChecker::CheckAfterCalm(
    const std::string& job, cell::ReplyKind state,
    const std::function<bool(const records::Resources&)>& has_room) {
  CheckCopies(job);
  const jobs::JobSpec& spec = specs_.at(job);
  if (cancelled_.contains(job)) {
    CheckCancelled(job, state);
    return;
  }
  if (state == cell::ReplyKind::kNoSuchJob) {
    Report("LOST: accepted job " + job + " is unknown after the calm");
    return;
  }
  if (state == cell::ReplyKind::kFailed && MayBeGivenUp(job)) return;
  if (!spec.IsLongRunning()) {
    if (state == cell::ReplyKind::kDone) return;
    const bool active =
        state == cell::ReplyKind::kQueued || state == cell::ReplyKind::kRunning;
    if (active && !WaitsDespiteRoom(job, has_room)) return;
    Report("LOST: job " + job + " is not done after the calm, state=" +
           std::to_string(static_cast<int>(state)));
    return;
  }
  for (std::size_t step = 0; step < spec.steps.size(); ++step) {
    for (int index = 0; index < spec.steps[step].count; ++index) {
      const TaskState& task = tasks_[{job, 0, static_cast<int>(step), index}];
      const bool fresh =
          clock_.Monotonic() - task.last_run_end < kMaxGapOfLongRunning;
      if (!task.runs.empty() || fresh) continue;
      if (!has_room(spec.steps[step].need)) continue;
      Report("LOST: long-running task of " + job + " index " +
             std::to_string(index) + " has no run");
    }
  }
}

}  // namespace basilspur::sim
