#ifndef BASILSPUR_JOBS_SUBMIT_RESULT_H_
#define BASILSPUR_JOBS_SUBMIT_RESULT_H_

namespace basilspur::jobs {

/// Result of submitting a job.
enum class SubmitResult { kNew, kAlreadyExists, kTooManyJobs };

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_SUBMIT_RESULT_H_
