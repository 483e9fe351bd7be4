#ifndef BASILSPUR_JOBS_RETRY_AFTER_H_
#define BASILSPUR_JOBS_RETRY_AFTER_H_

#include <cstdint>
#include <string_view>

#include "base/clock.h"

namespace basilspur::jobs {

/// Returns the value of Retry-After for a refused request: whole seconds, at
/// least 1. `wait` is when capacity or the next owner is expected, 0 if that is
/// not known. Callers that are refused together are meant to return spread over
/// time, so a part is added that depends on the job's id and is the larger, the
/// longer the wait.
///
/// Thread safety: any thread.
std::int64_t RetryAfterSeconds(std::string_view job, Millis wait);

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_RETRY_AFTER_H_
