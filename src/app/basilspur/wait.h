#ifndef BASILSPUR_APP_BASILSPUR_WAIT_H_
#define BASILSPUR_APP_BASILSPUR_WAIT_H_

#include <cstdint>
#include <string>

#include "client.h"

namespace basilspur::cli {

/// Waits until a job has ended and shows the progress on standard error.
/// Returns an exit code. Thread safety: one thread at a time.
int WaitForJob(Client& client, const std::string& id);

/// Waits until every live entry serves callers by a state at `offset` or later.
/// Returns an exit code. Thread safety: one thread at a time.
int WaitForOffset(Client& client, std::int64_t offset);

}  // namespace basilspur::cli

#endif  // BASILSPUR_APP_BASILSPUR_WAIT_H_
