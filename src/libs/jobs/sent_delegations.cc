#include "jobs/sent_delegations.h"

#include <algorithm>

#include "jobs/delegation.h"
#include "jobs/scheduler_settings.h"

namespace basilspur::jobs {

template <class Matches>
static std::size_t Count(const Delegation& delegation, Matches matches) {
  return static_cast<std::size_t>(
      std::count_if(delegation.tasks.begin(), delegation.tasks.end(), matches));
}

bool SentDelegations::IsDue(const Delegation& delegation, int host_cell,
                            Millis now) {
  Sent& sent = sent_[{delegation.job, host_cell}];
  const std::size_t tasks = delegation.tasks.size();
  const std::size_t recalls = Count(
      delegation, [](const DelegatedTask& task) { return task.recalled; });
  const std::size_t settlements =
      Count(delegation, [](const DelegatedTask& task) { return task.settled; });
  const bool first = sent.at == Millis(0);
  const bool changed = tasks != sent.tasks || recalls != sent.recalls ||
                       settlements != sent.settlements;
  Millis interval = recalls > 0 || tasks != sent.tasks
                        ? settings_.recall_interval
                        : settings_.delegation_interval;
  // Hosts answer as soon as there is news of a task that ends.
  if (delegation.wait_ms > 0) {
    if (sent.answered) interval = settings_.min_delegation_interval;
    if (changed) interval = Millis(0);
  }
  if (!first && now - sent.at < interval) return false;
  sent = {now, tasks, recalls, settlements, /*answered=*/false};
  return true;
}

void SentDelegations::OnAnswered(const std::string& job, int host_cell) {
  const auto sent = sent_.find({job, host_cell});
  if (sent != sent_.end()) sent->second.answered = true;
}

void SentDelegations::Forget(const std::string& job) {
  std::erase_if(sent_,
                [&](const auto& item) { return item.first.first == job; });
}

}  // namespace basilspur::jobs
