#ifndef BASILSPUR_JOBS_CELL_SUMMARY_H_
#define BASILSPUR_JOBS_CELL_SUMMARY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "jobs/label_room.h"
#include "jobs/task_copy.h"
#include "records/resources.h"

namespace basilspur::jobs {

/// So many VMs hold the widest steps of short tasks (80 tasks of 7.5 cores) of
/// half a dozen jobs; each costs some 10 bytes a second for each reader.
inline constexpr std::size_t kMaxPublishedRooms = 8;

/// Workload of a cell, for logs, metrics and load balancing between cells.
struct CellSummary {
  int active_jobs = 0;
  int waiting_tasks = 0;  ///< Tasks without a run whose dependencies are done.
  int waiting_long_running = 0;
  int waiting_best_effort = 0;
  int runs = 0;
  int unreachable_vms = 0;
  /// Listed VMs that accept no work: they drain, or their data center is
  /// closed. They do not count in the capacities below.
  int closed_vms = 0;
  std::int64_t preempted_runs = 0;  ///< Since the owner took over.
  /// Jobs in the order of LateJobOrder, by what they can still reach.
  int late_useful_jobs = 0;
  int late_past_use_jobs = 0;
  std::int64_t capacity_cpu_millis = 0;
  std::int64_t free_cpu_millis = 0;
  /// Of waiting tasks that are not best-effort.
  std::int64_t waiting_cpu_millis = 0;
  /// Of best-effort tasks, running or waiting.
  std::int64_t best_effort_cpu_millis = 0;
  Millis oldest_wait;  ///< Age of the oldest job with a waiting task.
  /// Free capacity of the VM that has the most free processors.
  records::Resources largest_room;
  CopyCounts copies;
  /// Free capacity of the VMs that accept work and have the most free
  /// processors, in this order; at most kMaxPublishedRooms.
  std::vector<records::Resources> rooms;
  /// The same without what tasks that end use: capacity that long-running tasks
  /// may take. VMs that are reserved for one are left out.
  std::vector<records::Resources> long_running_rooms;
  /// Of those VMs, by label in ascending order; at most kMaxPublishedLabels.
  std::vector<LabelRoom> label_rooms;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_CELL_SUMMARY_H_
