#ifndef BASILSPUR_NET_INTRODUCTION_H_
#define BASILSPUR_NET_INTRODUCTION_H_

#include <functional>

#include "net/http_message.h"

namespace basilspur::net {

/// What a client does once the introduction was answered.
enum class AfterIntroduction {
  kSendRequest,
  kReturnResponse,   ///< Returns the response; the connection is introduced.
  kCloseConnection,  ///< Returns the response and closes the connection.
};

/// Keeps a request that is meant for one process from another one that has
/// replaced it at its address. A connection leads to the same process until it
/// ends, so the first request on it asks which process that is.
///
/// Thread safety: as the client's.
struct Introduction {
  /// Must be harmless to any process at the address.
  HttpRequest request;
  std::function<AfterIntroduction(const HttpResponse&)> on_response;
};

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_INTRODUCTION_H_
