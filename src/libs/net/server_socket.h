#ifndef BASILSPUR_NET_SERVER_SOCKET_H_
#define BASILSPUR_NET_SERVER_SOCKET_H_

namespace basilspur::net {

class HttpShutdown;

/// A listening socket or a connection of an HTTP server, listed in an
/// HttpShutdown while it exists.
///
/// Thread safety: as HttpShutdown.
class ServerSocket {
 public:
  /// `shutdown` may be null, and otherwise outlives the object.
  explicit ServerSocket(HttpShutdown* shutdown);
  virtual ~ServerSocket();
  ServerSocket(const ServerSocket&) = delete;
  ServerSocket& operator=(const ServerSocket&) = delete;

  /// Begins to close the socket if nothing has arrived that is not answered.
  virtual void CloseIfIdle() = 0;

 private:
  HttpShutdown* shutdown_;
};

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_SERVER_SOCKET_H_
