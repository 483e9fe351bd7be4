#ifndef BASILSPUR_CELL_RECALL_RECORD_H_
#define BASILSPUR_CELL_RECALL_RECORD_H_

#include <string>
#include <vector>

namespace basilspur::cell {

/// The key of recall records, beside the owner records of the home cell.
inline constexpr char kRecallsKey[] = "recalls";

/// Jobs of a cell that have ended while a silent owner hosts tasks of them. The
/// cell's owner writes it with its renewals; hosts that do not hear of the cell
/// read it and end these tasks.
///
/// Thread safety: a plain value.
struct RecallRecord {
  std::vector<std::string> jobs;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.jobs);
  }
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_RECALL_RECORD_H_
