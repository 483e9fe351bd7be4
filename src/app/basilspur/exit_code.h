#ifndef BASILSPUR_APP_BASILSPUR_EXIT_CODE_H_
#define BASILSPUR_APP_BASILSPUR_EXIT_CODE_H_

namespace basilspur::cli {

/// Exit codes, as docs/OPERATING.md lists them.
enum ExitCode {
  kSuccess = 0,
  kRejected = 1,        ///< The cell rejected the input as invalid.
  kUsageError = 2,      ///< The command line or a settings file is invalid.
  kUnavailable = 3,     ///< No entry accepted the call; nothing was changed.
  kNotFound = 4,        ///< The named object does not exist.
  kConflict = 5,        ///< The change is not based on the current version.
  kNoCapacity = 6,      ///< Capacity or quota is insufficient.
  kUnknownOutcome = 7,  ///< The change may still come into force.
  kJobNotFinished = 8,  ///< With --wait: the job failed or was cancelled.
};

}  // namespace basilspur::cli

#endif  // BASILSPUR_APP_BASILSPUR_EXIT_CODE_H_
