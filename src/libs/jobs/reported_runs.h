#ifndef BASILSPUR_JOBS_REPORTED_RUNS_H_
#define BASILSPUR_JOBS_REPORTED_RUNS_H_

#include <set>
#include <vector>

#include "jobs/vm.h"

namespace basilspur::jobs {

/// Adds the runs that the rows of a VM's report name. Precondition: a row has
/// the members `task` and `run`.
template <class Row>
void AddRunKeys(const std::vector<Row>& rows, std::set<RunKey>& keys) {
  for (const Row& row : rows) keys.emplace(row.task, row.run);
}

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_REPORTED_RUNS_H_
