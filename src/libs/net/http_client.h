#ifndef BASILSPUR_NET_HTTP_CLIENT_H_
#define BASILSPUR_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "net/asio.h"
#include "net/http_message.h"
#include "net/introduction.h"

namespace basilspur::net {

struct HttpClientOptions {
  /// A peer that has not answered in time gets at most this many calls at once
  /// until it answers one; 0: no limit.
  int max_calls_to_silent_peer = 0;
  /// Bounds the connections to a peer, those of calls and idle ones together.
  /// Further calls wait for their turn. 0: no limit.
  std::size_t max_connections_per_peer = 0;
  /// An idle connection is closed at the first call to any peer after this
  /// time. A peer may take a limited number of connections.
  Millis max_idle_age{5'000};
};

/// An HTTP/1.1 client for control messages, with a pool of idle connections to
/// each peer. It is only for requests that may be repeated: if a request
/// on an idle connection fails other than by a time-out, because the peer may
/// have closed that connection, it is sent a second time on a new one. The
/// response then says so: a refusal of the second copy does not show what
/// became of the first.
///
/// Thread safety: only from the thread that runs its io_context.
class HttpClient {
 public:
  /// Precondition: `context` outlives the client.
  explicit HttpClient(asio::io_context& context,
                      HttpClientOptions options = {});
  ~HttpClient();

  /// Sends the request and returns the response. Errors: kInvalid for a
  /// malformed address, kRefused if nothing listens at it, kUnavailable if no
  /// connection could be established or it broke, kTimeout if the response did
  /// not arrive within `timeout` ms. The steps "limit", "connect" and "send"
  /// mean that the peer did not receive a complete request; "limit" is one of
  /// those of HttpClientOptions. The same holds for "introduce": the
  /// introduction was not answered.
  ///
  /// With an introduction, the request is only sent on a connection on which
  /// one was answered, by this call or an earlier one.
  asio::awaitable<Result<HttpResponse>> Call(
      std::string address, HttpRequest request, Millis timeout,
      std::optional<Introduction> introduction = std::nullopt);
  /// Closes the connections to the peer: idle ones at once, those of calls
  /// under way at the end of the call, unless a later call needs them.
  void Disconnect(const std::string& address);

 private:
  struct Connection;
  /// What a call sends, and for how long it waits for each response.
  struct Message;
  class Private;
  class CountedCall;
  class HeldSlot;
  /// Sends the request on an idle connection or on a new one.
  static asio::awaitable<Result<HttpResponse>> CallAnyConnection(
      std::shared_ptr<Private> d, std::shared_ptr<const Message> message);

  std::shared_ptr<Private> d_;
};

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_HTTP_CLIENT_H_
