#ifndef BASILSPUR_NET_HTTP_MESSAGE_H_
#define BASILSPUR_NET_HTTP_MESSAGE_H_

#include <string>

#include "base/clock.h"
#include "net/http_headers.h"

namespace basilspur::net {

/// A complete HTTP request in memory, for small control messages.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
  /// Set by ServeHttp: how long the request had been waiting on this machine
  /// when it was read. 0 if that is not known.
  Millis age = Millis(0);
};

/// A complete HTTP response in memory, for small control messages.
struct HttpResponse {
  unsigned status = 200;
  std::string content_type = "application/octet-stream";
  HttpHeaders headers;
  std::string body;
  /// Set by HttpClient: the response is to the second copy of the request.
  /// The peer may have processed the first one, or may still do so.
  bool is_to_second_copy = false;
  /// Set by HttpClient: the response is to an Introduction whose connection was
  /// closed, and no request was sent on that.
  bool is_from_other_process = false;
};

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_HTTP_MESSAGE_H_
