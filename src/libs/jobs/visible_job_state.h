#ifndef BASILSPUR_JOBS_VISIBLE_JOB_STATE_H_
#define BASILSPUR_JOBS_VISIBLE_JOB_STATE_H_

namespace basilspur::jobs {

/// State of a job as reported to callers.
enum class VisibleJobState { kQueued, kRunning, kDone, kFailed, kCancelled };

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_VISIBLE_JOB_STATE_H_
