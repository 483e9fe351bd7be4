#ifndef BASILSPUR_JOBS_LATE_STARTS_H_
#define BASILSPUR_JOBS_LATE_STARTS_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "jobs/job_progress.h"
#include "jobs/task_ref.h"
#include "jobs/vm.h"

namespace basilspur::jobs {

/// Start commands without an answer that VMs may still carry out, though they
/// were sent again or their runs were given up. A VM's worker refuses a copy
/// while it knows of the run's end; one that starts again under the same id
/// does not, until it has received a higher fencing token. So nothing but the
/// time shows that no copy comes any more.
///
/// Thread safety: one thread at a time.
class LateStarts {
 public:
  /// A copy of the run's start may take effect on the VM until `until`. Returns
  /// false if one that was known may take effect as long.
  bool Add(const std::string& vm, const RunKey& run, Millis until);
  /// The only copy of the run's start has been carried out. Returns false if
  /// there was none.
  bool Remove(const std::string& vm, const RunKey& run);
  /// No worker that may still start on the VM's machine takes calls for the
  /// VM's id. Returns false if no copy was known.
  bool RemoveAllOn(const std::string& vm);
  /// Forgets the copies that can't take effect any more. Returns their VMs.
  std::vector<std::string> RemoveExpired(Millis now);

  /// Whether a copy may start the task, on any VM.
  bool MayStart(const TaskRef& task) const { return tasks_.contains(task); }
  /// Returns the VM that may carry out copies for the task; null if there are
  /// none or several. Valid until the next change.
  const std::string* OnlyVmOf(const TaskRef& task) const;
  /// Returns the runs on the VM of which a copy may start, for its record.
  std::vector<LateStartRecord> RecordsOf(const std::string& vm) const;
  std::size_t Count() const { return copies_.size(); }

 private:
  using Key = std::pair<std::string, RunKey>;  ///< VM and run.
  using Copies = std::map<Key, Millis>;

  Copies::iterator Erase(Copies::iterator copy);

  Copies copies_;  ///< Until when they may take effect.
  std::map<TaskRef, std::multiset<std::string>> tasks_;  ///< VMs of copies.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_LATE_STARTS_H_
