#include "jobs/placement_queue.h"

#include <utility>

namespace basilspur::jobs {

static constexpr int kNoIndex = -1;
static constexpr int kFullPace = 100;

PlacementQueue::PlacementQueue(const Placer& placer,
                               const std::vector<Vm*>& vms,
                               const StepSpec& spec, const std::string& service,
                               const TaskRef& task, Millis now)
    : placer_(placer),
      vms_(vms),
      spec_(spec),
      service_(service),
      any_task_{task.job, task.occurrence, task.step, kNoIndex},
      now_(now),
      states_(vms.size()) {
  for (std::size_t position = 0; position < vms.size(); ++position) {
    const Vm& vm = *vms[position];
    positions_[vm.listing.id] = position;
    Evaluate(position);
    const Reservation* reservation = vm.ReservationOfOther(any_task_, now);
    if (reservation && reservation->task.IsOfStep(any_task_))
      reserved_.emplace(reservation->task.index, position);
  }
}

void PlacementQueue::Evaluate(std::size_t position) {
  static const Task kNewTask;
  const auto cost = placer_.CostOn(*vms_[position], spec_, service_, any_task_,
                                   kNewTask, now_);
  if (!cost) return;
  const bool pace_is_known = !spec_.best_effort;
  Enqueue(position, *cost,
          pace_is_known ? std::optional<int>(kFullPace) : std::nullopt);
}

void PlacementQueue::Enqueue(std::size_t position, double cost,
                             std::optional<int> pace_percent) {
  states_[position] = {cost, pace_percent, /*queued=*/true};
  queue_.emplace(cost, position);
}

void PlacementQueue::Dequeue(std::size_t position) {
  State& state = states_[position];
  if (!std::exchange(state.queued, false)) return;
  queue_.erase(Entry(state.cost, position));
}

void PlacementQueue::Update(const Vm& vm) {
  const std::size_t position = positions_.at(vm.listing.id);
  Dequeue(position);
  Evaluate(position);
}

bool PlacementQueue::Complete(std::size_t position) {
  const State& state = states_[position];
  if (state.pace_percent) return true;
  double cost = state.cost;
  const auto pace_percent = placer_.PaceOn(*vms_[position], spec_, cost);
  Dequeue(position);
  if (pace_percent) Enqueue(position, cost, pace_percent);
  return false;
}

std::optional<PlacementQueue::Choice> PlacementQueue::First(const Task& task) {
  for (auto it = queue_.begin(); it != queue_.end();) {
    const Entry entry = *it;
    const std::size_t position = entry.second;
    if (Placer::FailureCost(*vms_[position], task) > 0) {
      ++it;
      continue;
    }
    if (Complete(position))
      return Choice{entry, *states_[position].pace_percent};
    it = queue_.begin();
  }
  return std::nullopt;
}

void PlacementQueue::Compare(std::size_t position, const TaskRef& ref,
                             const Task& task,
                             std::optional<Choice>& best) const {
  const Vm& vm = *vms_[position];
  auto cost = placer_.CostOn(vm, spec_, service_, ref, task, now_);
  if (!cost || (best && Entry(*cost, position) >= best->entry)) return;
  const auto pace_percent = placer_.PaceOn(vm, spec_, *cost);
  if (!pace_percent || (best && Entry(*cost, position) >= best->entry)) return;
  best = Choice{{*cost, position}, *pace_percent};
}

Placement PlacementQueue::Select(const TaskRef& ref, const Task& task) {
  // The costs for a suspect are of another kind.
  if (task.IsSuspect())
    return placer_.SelectPlacement(vms_, spec_, service_, ref, task, now_);
  std::optional<Choice> best = First(task);
  for (const std::string& vm : task.failed_on) {
    const auto found = positions_.find(vm);
    if (found != positions_.end()) Compare(found->second, ref, task, best);
  }
  const auto [begin, end] = reserved_.equal_range(ref.index);
  for (auto it = begin; it != end; ++it) Compare(it->second, ref, task, best);
  if (!best) return {};
  return {vms_[best->entry.second], best->pace_percent, /*relief=*/false};
}

}  // namespace basilspur::jobs
