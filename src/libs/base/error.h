#ifndef BASILSPUR_BASE_ERROR_H_
#define BASILSPUR_BASE_ERROR_H_

#include <string>

namespace basilspur {

enum class ErrorCode {
  kInvalid,      ///< The input is invalid; a retry does not help.
  kNotFound,     ///< The named object does not exist.
  kConflict,     ///< A concurrent change took effect first.
  kUnavailable,  ///< The peer is unreachable or rejects; no effect.
  kTimeout,      ///< No response in time; may have taken effect.
  kOverloaded,   ///< A bounded queue is full; no effect.
  kCorrupt,      ///< Data received from the peer can't be decoded.
  kRefused,      ///< Nothing listens at the peer's address; no effect.
};

/// An error with the step that failed and the peer involved.
struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  std::string step;
  std::string peer;
  std::string message;

  /// Formats the error as one line for logs and operators: "step peer:
  /// message".
  std::string ToString() const;
};

}  // namespace basilspur

#endif  // BASILSPUR_BASE_ERROR_H_
