#ifndef BASILSPUR_STATE_APPLY_RESULT_H_
#define BASILSPUR_STATE_APPLY_RESULT_H_

#include <cstdint>
#include <string>

namespace basilspur::state {

enum class ApplyResultCode {
  kAccepted,
  kDuplicate,      ///< The record was already applied.
  kUnknownWriter,  ///< The writer has not joined, or has ended.
  kInvalid,
  kNotFound,
  kConflict,  ///< Based on an outdated version, owner, run or set of renewers.
  kNoCapacity,
  kOverQuota,
};

/// The result of applying a record. It is the same in every process.
struct ApplyResult {
  ApplyResultCode code = ApplyResultCode::kAccepted;
  std::string reason;
  std::int64_t version = 0;  ///< The version of the object after the record.

  bool Accepted() const { return code == ApplyResultCode::kAccepted; }
};

}  // namespace basilspur::state

#endif  // BASILSPUR_STATE_APPLY_RESULT_H_
