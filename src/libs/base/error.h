#ifndef BASILSPUR_BASE_ERROR_H_
#define BASILSPUR_BASE_ERROR_H_

#include <string>

namespace basilspur {

enum class ErrorCode {
  kInvalid,      ///< The input is wrong and stays wrong.
  kNotFound,     ///< The named object does not exist.
  kConflict,     ///< Another change came first.
  kUnavailable,  ///< The peer can't be reached or refuses; nothing was done.
  kTimeout,      ///< No answer in time; the action may have taken effect.
  kOverloaded,   ///< A bounded queue is full; nothing was done.
  kCorrupt,      ///< The peer sent bytes that don't decode.
  kRefused,      ///< Nothing listens at the peer; nothing was done.
};

/// An error with the step and the peer at which it arose.
struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  std::string step;
  std::string peer;
  std::string message;

  /// One line for logs and operators: "step peer: message".
  std::string ToString() const;
};

}  // namespace basilspur

#endif  // BASILSPUR_BASE_ERROR_H_
