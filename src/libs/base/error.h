#ifndef BASILSPUR_BASE_ERROR_H_
#define BASILSPUR_BASE_ERROR_H_

#include <string>

namespace basilspur {

enum class ErrorCode {
  kInvalid,   ///< The input is invalid; a retry does not help.
  kNotFound,  ///< The named object does not exist.
  kConflict,  ///< A concurrent change took effect first.
  /// The peer is unreachable or refuses, or the connection broke. The action
  /// may have taken effect, unless the function that returns this rules it out.
  kUnavailable,
  kTimeout,     ///< No response in time; the action may have taken effect.
  kOverloaded,  ///< A bounded queue is full; nothing was done.
  kCorrupt,     ///< Data received from the peer can't be decoded.
  kRefused,     ///< The peer's address has no listener; nothing was done.
};

/// An error with the step that failed and the peer involved.
struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  std::string step;
  std::string peer;
  std::string message;

  /// Formats the error as one line, "step peer: message", for logs and
  /// operators.
  std::string ToString() const;
};

}  // namespace basilspur

#endif  // BASILSPUR_BASE_ERROR_H_
