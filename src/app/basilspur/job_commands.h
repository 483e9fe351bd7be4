#ifndef BASILSPUR_APP_BASILSPUR_JOB_COMMANDS_H_
#define BASILSPUR_APP_BASILSPUR_JOB_COMMANDS_H_

namespace basilspur::cli {

struct Invocation;

// Commands for batch jobs. Each returns an exit code.
int CreateJob(Invocation& invocation);
int CancelJobs(Invocation& invocation);
int ListJobs(Invocation& invocation);

}  // namespace basilspur::cli

#endif  // BASILSPUR_APP_BASILSPUR_JOB_COMMANDS_H_
