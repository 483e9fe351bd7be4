#ifndef BASILSPUR_NET_HTTP_SHUTDOWN_H_
#define BASILSPUR_NET_HTTP_SHUTDOWN_H_

#include <set>

namespace basilspur::net {

class ServerSocket;

/// Ends HTTP servers that run on the same io_context so that each request that
/// has arrived is answered.
///
/// Thread safety: only from the thread of the io_context.
class HttpShutdown {
 public:
  /// From now on each connection is closed after its next response.
  void Begin() { has_begun_ = true; }
  bool HasBegun() const { return has_begun_; }

  /// Closes the listening sockets on which no connection waits, and the
  /// connections that have no request. A request that has arrived is still
  /// answered. Returns whether all sockets are closed; call again until then.
  bool CloseIdle();

  /// Lists a socket of a server until Remove(). The socket outlives its entry.
  void Add(ServerSocket& socket) { sockets_.insert(&socket); }
  void Remove(ServerSocket& socket) { sockets_.erase(&socket); }

 private:
  bool has_begun_ = false;
  std::set<ServerSocket*> sockets_;
};

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_HTTP_SHUTDOWN_H_
