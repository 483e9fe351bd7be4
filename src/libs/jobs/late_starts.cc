#include "jobs/late_starts.h"

#include <iterator>

namespace basilspur::jobs {

bool LateStarts::Add(const std::string& vm, const RunKey& run, Millis until) {
  const auto [found, is_new] = copies_.try_emplace(Key(vm, run), until);
  if (is_new) {
    tasks_[run.first].insert(vm);
    return true;
  }
  if (until <= found->second) return false;
  found->second = until;
  return true;
}

bool LateStarts::Remove(const std::string& vm, const RunKey& run) {
  const auto found = copies_.find(Key(vm, run));
  if (found == copies_.end()) return false;
  Erase(found);
  return true;
}

LateStarts::Copies::iterator LateStarts::Erase(Copies::iterator copy) {
  const auto& [vm, run] = copy->first;
  const auto task = tasks_.find(run.first);
  task->second.erase(task->second.find(vm));
  if (task->second.empty()) tasks_.erase(task);
  return copies_.erase(copy);
}

bool LateStarts::RemoveAllOn(const std::string& vm) {
  auto copy = copies_.lower_bound(Key(vm, RunKey()));
  const bool has_any = copy != copies_.end() && copy->first.first == vm;
  while (copy != copies_.end() && copy->first.first == vm) copy = Erase(copy);
  return has_any;
}

const std::string* LateStarts::OnlyVmOf(const TaskRef& task) const {
  const auto found = tasks_.find(task);
  if (found == tasks_.end()) return nullptr;
  const std::multiset<std::string>& vms = found->second;
  return *vms.begin() == *vms.rbegin() ? &*vms.begin() : nullptr;
}

std::vector<std::string> LateStarts::RemoveExpired(Millis now) {
  std::vector<std::string> vms;
  for (auto copy = copies_.begin(); copy != copies_.end();) {
    if (now <= copy->second) {
      ++copy;
      continue;
    }
    const std::string& vm = copy->first.first;
    if (vms.empty() || vms.back() != vm) vms.push_back(vm);
    copy = Erase(copy);
  }
  return vms;
}

std::vector<LateStartRecord> LateStarts::RecordsOf(
    const std::string& vm) const {
  std::vector<LateStartRecord> records;
  for (auto copy = copies_.lower_bound(Key(vm, RunKey()));
       copy != copies_.end() && copy->first.first == vm; ++copy) {
    const auto& [task, run] = copy->first.second;
    records.push_back({task.job, task.occurrence, task.step, task.index, run});
  }
  return records;
}

}  // namespace basilspur::jobs
