#ifndef BASILSPUR_BASE_RESULT_H_
#define BASILSPUR_BASE_RESULT_H_

#include <variant>

#include "base/error.h"

namespace basilspur {

/// Either a value, or the error that prevented it.
template <class T>
using Result = std::variant<T, Error>;

/// Success without a value, or an error.
using Status = Result<std::monostate>;

template <class T>
bool IsOk(const Result<T>& result) {
  return std::holds_alternative<T>(result);
}

/// Precondition: IsOk(result).
template <class T>
T& ValueOf(Result<T>& result) {
  return std::get<T>(result);
}

/// Precondition: IsOk(result).
template <class T>
const T& ValueOf(const Result<T>& result) {
  return std::get<T>(result);
}

/// Precondition: !IsOk(result).
template <class T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<Error>(result);
}

}  // namespace basilspur

#endif  // BASILSPUR_BASE_RESULT_H_
