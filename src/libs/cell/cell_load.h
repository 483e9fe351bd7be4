#ifndef BASILSPUR_CELL_CELL_LOAD_H_
#define BASILSPUR_CELL_CELL_LOAD_H_

#include <cstdint>

namespace basilspur::cell {

/// How full a cell is, in thousandths of a core. `room` 0: not known.
///
/// Thread safety: a plain value.
struct CellLoad {
  std::int64_t room = 0;
  std::int64_t charged = 0;      ///< Of the room, to running tasks.
  std::int64_t waiting = 0;      ///< Charged tasks that could run now.
  std::int64_t best_effort = 0;  ///< Best-effort tasks, running or waiting.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.room, self.charged, self.waiting, self.best_effort);
  }
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_CELL_LOAD_H_
