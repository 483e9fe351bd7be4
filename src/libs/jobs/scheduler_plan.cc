#include <algorithm>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

std::vector<Order> Scheduler::Plan(std::int64_t wall_ms, Millis now) {
  wall_ms_ = wall_ms;
  CheckLapses(now);
  std::vector<Order> orders;
  const bool check = now - checked_ >= settings_.check_interval;
  if (check) {
    checked_ = now;
    for (auto& [id, vm] : vms_) tails_.AdjustPaces(*vm, now);
    PlanStrays(now, orders);
  }
  PlanPaces(orders);
  PlanEndings(now, orders);
  const std::vector<Vm*> vms = AllVms();
  unplaceable_ = {};
  if (check) {
    for (auto& [key, job] : active_) {
      PlanStalls(*job, now);
      PlanRetries(*job, now, orders);
      UpdateTier(*job, now);
    }
  }
  for (Job* job : InOrderOfService()) {
    if (MayStart(*job)) PlanJob(*job, vms, now, orders);
  }
  if (check) PlanEvacuations(vms, now, orders);
  return orders;
}

void Scheduler::UpdateTier(Job& job, Millis now) {
  const QueueConfig* queue = catalog_.FindQueue(job.record.queue);
  if (queue) job.tier = order_.TierOf(job, *queue, now);
}

std::vector<Job*> Scheduler::InOrderOfService() const {
  std::vector<Job*> jobs;
  jobs.reserve(active_.size());
  for (const auto& [key, job] : active_) jobs.push_back(job);
  std::stable_sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
    return std::pair(a->record.priority, a->tier) <
           std::pair(b->record.priority, b->tier);
  });
  return jobs;
}

bool Scheduler::MayStart(const Job& job) const {
  // Runs of earlier terms that no record names are found at the VMs, so a job
  // of that time starts nothing until each VM has answered or lapsed.
  return job.accepted && (!job.old || KnowsAllRuns());
}

std::vector<Vm*> Scheduler::AllVms() {
  std::vector<Vm*> all;
  all.reserve(vms_.size());
  for (auto& [id, vm] : vms_) all.push_back(vm.get());
  return all;
}

void Scheduler::AddDueOccurrences(Job& job, std::int64_t wall_ms) {
  const JobSpec& spec = job.record.spec;
  while (job.next_occurrence < spec.Occurrences()) {
    const std::int64_t due =
        spec.first_start_ms + job.next_occurrence * spec.interval_ms;
    if (spec.repeats > 0 && wall_ms < due) return;
    job.AddOccurrence(job.next_occurrence++);
  }
}

void Scheduler::PlanJob(Job& job, const std::vector<Vm*>& vms, Millis now,
                        std::vector<Order>& orders) {
  AddDueOccurrences(job, wall_ms_);
  for (Occurrence& occurrence : job.occurrences) {
    for (int step = 0; step < static_cast<int>(occurrence.steps.size());
         ++step) {
      const Step& state = occurrence.steps[step];
      if (state.done == static_cast<int>(state.tasks.size())) continue;
      if (!job.DependenciesDone(occurrence, step)) continue;
      if (job.record.spec.steps[step].gang) {
        PlanGang(job, occurrence, step, now, orders);
      } else {
        PlanStep(job, occurrence, step, vms, now, orders);
      }
    }
  }
}

bool Scheduler::NeedsRun(const Task& task, Millis now) const {
  return !task.done && task.runs.empty() && now >= task.not_before;
}

int Scheduler::NextRunNumber(const Job& job, const Task& task) const {
  return std::max(task.last_run + 1, job.old ? first_run_ : 1);
}

void Scheduler::PlanStep(Job& job, Occurrence& occurrence, int step,
                         const std::vector<Vm*>& vms, Millis now,
                         std::vector<Order>& orders) {
  std::vector<Task>& tasks = occurrence.steps[step].tasks;
  const StepSpec& spec = job.record.spec.steps[step];
  for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
    if (!NeedsRun(tasks[index], now)) continue;
    if (unplaceable_.Covers(spec, job.record.service)) return;
    const TaskRef ref{job.id, occurrence.number, step, index};
    const Placement place = placer_.SelectPlacement(
        vms, spec, job.record.service, ref, tasks[index], tasks, now);
    if (!place.vm) {
      if (spec.long_running) {
        ReserveFor(ref, spec, job.record.service, vms, now);
      }
      unplaceable_.Add(spec, job.record.service);
      return;
    }
    StartTask(job, ref, place, NextRunNumber(job, tasks[index]), now, orders);
  }
}

void Scheduler::PlanGang(Job& job, Occurrence& occurrence, int step, Millis now,
                         std::vector<Order>& orders) {
  std::vector<Task>& tasks = occurrence.steps[step].tasks;
  const StepSpec& spec = job.record.spec.steps[step];
  int number = 0;
  for (const Task& task : tasks) {
    if (!NeedsRun(task, now)) return;
    number = std::max(number, NextRunNumber(job, task));
  }
  std::set<std::string> racks{""};
  if (spec.rack_local) {
    for (const auto& [id, vm] : vms_) racks.insert(vm->listing.rack);
  }
  for (auto rack = racks.rbegin(); rack != racks.rend(); ++rack) {
    std::vector<Vm*> vms = AllVms();
    if (!rack->empty()) {
      std::erase_if(vms, [&](Vm* vm) { return vm->listing.rack != *rack; });
    }
    std::vector<Order> placed;
    for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
      const TaskRef ref{job.id, occurrence.number, step, index};
      const Placement place = placer_.SelectPlacement(
          vms, spec, job.record.service, ref, tasks[index], tasks, now);
      if (!place.vm) break;
      StartTask(job, ref, place, number, now, placed);
    }
    if (placed.size() == tasks.size()) {
      orders.insert(orders.end(), placed.begin(), placed.end());
      return;
    }
    for (const Order& order : placed) {
      ReleaseRun(*FindVm(order.vm), order.task, order.run);
      job.At(order.task).last_run = number - 1;
    }
  }
}

static Order MakeStart(const Job& job, const TaskRef& ref, const Run& run) {
  Order order;
  order.kind = OrderKind::kStart;
  order.vm = run.vm;
  order.task = ref;
  order.run = run.number;
  order.payload = job.record.spec.payload;
  return order;
}

void Scheduler::StartTask(Job& job, const TaskRef& ref, const Placement& place,
                          int number, Millis now, std::vector<Order>& orders) {
  Vm& vm = *place.vm;
  if (vm.reservation && vm.reservation->task == ref) vm.reservation.reset();
  Task& task = job.At(ref);
  const StepSpec& spec = job.record.spec.steps[ref.step];
  Run& run = task.runs.emplace_back();
  run.number = number;
  run.vm = vm.listing.id;
  run.began = run.ordered = run.advanced = now;
  run.starts_sent = 1;
  task.last_run = number;
  RunOnVm charge = MakeRunOnVm(spec);
  charge.pace_percent = place.pace_percent;
  vm.Add({ref, number}, charge);
  orders.push_back(MakeStart(job, ref, run));
  orders.back().checkpoint = task.checkpoint;
  job.begun = true;
  MarkProgress(job);
  // A later owner finds the VM by this, even if the list has lost it.
  if (!vm.in_journal) new_ends_.try_emplace(vm.listing.id, vm.last_end);
  vm.in_journal = true;
}

void Scheduler::OrderStop(const TaskRef& ref, Run& run, Millis now,
                          std::vector<Order>& orders) {
  Order order;
  order.kind = OrderKind::kStop;
  order.vm = run.vm;
  order.task = ref;
  order.run = run.number;
  orders.push_back(order);
  run.phase = RunPhase::kStopping;
  run.ordered = now;
}

void Scheduler::PlanRetries(Job& job, Millis now, std::vector<Order>& orders) {
  job.ForEachRun([&](const TaskRef& ref, Task& task, Run& run) {
    if (run.phase == RunPhase::kStopping && !run.stop_confirmed &&
        now - run.ordered >= settings_.stop_retry) {
      OrderStop(ref, run, now, orders);
      return;
    }
    const bool inherited = run.ordered == Millis(0);
    if (run.phase != RunPhase::kInDoubt || inherited) return;
    if (now - run.ordered < settings_.start_retry) return;
    if (run.starts_sent >= settings_.starts_before_stop) {
      OrderStop(ref, run, now, orders);
      return;
    }
    ++run.starts_sent;
    run.ordered = now;
    orders.push_back(MakeStart(job, ref, run));
    orders.back().checkpoint = task.checkpoint;
  });
}

void Scheduler::PlanStalls(Job& job, Millis now) {
  job.ForEachRun([&](const TaskRef& ref, Task& task, Run& run) {
    const StepSpec& spec = job.record.spec.steps[ref.step];
    if (run.phase != RunPhase::kRunning || spec.gang) return;
    if (spec.long_running && run.percent >= 100) return;
    const Vm* vm = FindVm(run.vm);
    if (!vm || !vm->reachable) return;
    const auto charge = vm->Runs().find({ref, run.number});
    const bool yields = charge != vm->Runs().end() &&
                        charge->second.pace_percent == 0 &&
                        now - charge->second.pace_changed_at >= settings_.yield;
    if (!yields && now - run.advanced < settings_.stall) return;
    // The stop goes out with the retries.
    run.phase = RunPhase::kStopping;
    run.ordered = now - settings_.stop_retry;
    task.failed_on.push_back(run.vm);
  });
}

void Scheduler::PlanEndings(Millis now, std::vector<Order>& orders) {
  for (auto at = ending_.begin(); at != ending_.end();) {
    Job* job = FindJob(*at);
    bool any = false;
    if (job) {
      job->ForEachRun([&](const TaskRef& ref, Task&, Run& run) {
        any = true;
        const bool first = run.phase != RunPhase::kStopping;
        const bool again =
            !run.stop_confirmed && now - run.ordered >= settings_.stop_retry;
        if (first || again) OrderStop(ref, run, now, orders);
      });
    }
    if (any) {
      ++at;
      continue;
    }
    if (job) {
      job->record_dirty = true;
      dirty_.insert(job->id);
    }
    at = ending_.erase(at);
  }
}

void Scheduler::PlanStrays(Millis now, std::vector<Order>& orders) {
  for (auto& [key, ordered] : strays_) {
    if (now - ordered < settings_.stop_retry) continue;
    ordered = now;
    Order order;
    order.kind = OrderKind::kStop;
    order.vm = key.first;
    order.task = key.second.first;
    order.run = key.second.second;
    orders.push_back(order);
  }
}

void Scheduler::PlanPaces(std::vector<Order>& orders) {
  for (auto& [id, vm] : vms_) {
    if (!vm->reachable || vm->BestEffortCpuMillis() == 0) continue;
    for (const auto& [key, entry] : vm->Runs()) {
      if (!entry.confirmed || entry.pace_percent == entry.ordered_pace_percent)
        continue;
      vm->FindRun(key)->ordered_pace_percent = entry.pace_percent;
      Order order;
      order.kind = OrderKind::kPace;
      order.vm = id;
      order.task = key.first;
      order.run = key.second;
      order.percent = entry.pace_percent;
      orders.push_back(order);
    }
  }
}

}  // namespace basilspur::jobs
