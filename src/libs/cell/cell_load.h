#ifndef BASILSPUR_CELL_CELL_LOAD_H_
#define BASILSPUR_CELL_CELL_LOAD_H_

#include <cstdint>
#include <vector>

#include "jobs/label_room.h"
#include "records/resources.h"

namespace basilspur::cell {

/// The load of a cell, in thousandths of a core. A capacity of 0 means that the
/// load is unknown.
///
/// Thread safety: a plain value.
struct CellLoad {
  std::int64_t capacity_cpu_millis = 0;
  /// Capacity that is charged to running tasks.
  std::int64_t charged_cpu_millis = 0;
  /// Needed by waiting tasks that could run now and would be charged.
  std::int64_t waiting_cpu_millis = 0;
  /// Needed by best-effort tasks, running or waiting.
  std::int64_t best_effort_cpu_millis = 0;
  /// Free capacity of the VM that has the most free processors.
  records::Resources largest_room = {};
  /// The owner knows VMs of the cell, and none of them accepts work.
  bool closed = false;
  /// Free capacity of the VMs that have the most. Entries of earlier versions,
  /// which can't host tasks that end, publish none.
  std::vector<records::Resources> rooms = {};
  /// The same without what tasks that end use. Entries of earlier versions
  /// publish none.
  std::vector<records::Resources> long_running_rooms = {};
  /// Room for tasks that require a label. Entries of earlier versions publish
  /// none.
  std::vector<jobs::LabelRoom> label_rooms = {};

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.capacity_cpu_millis, self.charged_cpu_millis,
            self.waiting_cpu_millis, self.best_effort_cpu_millis,
            self.largest_room, self.closed, self.rooms, self.long_running_rooms,
            self.label_rooms);
  }
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_CELL_LOAD_H_
