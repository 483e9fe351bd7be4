#ifndef BASILSPUR_CELL_RUN_FIELDS_H_
#define BASILSPUR_CELL_RUN_FIELDS_H_

#include <span>
#include <string>

#include "jobs/known_run.h"

namespace basilspur::cell {

/// Returns how many runs there are, and the first ones of them, as log fields
/// with a leading space.
std::string RunFields(std::span<const jobs::KnownRun> runs);

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_RUN_FIELDS_H_
