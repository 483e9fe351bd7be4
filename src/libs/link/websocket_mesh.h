#ifndef BASILSPUR_LINK_WEBSOCKET_MESH_H_
#define BASILSPUR_LINK_WEBSOCKET_MESH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

// websocketpp 0.8.2 does not compile as C++20, so websocket_mesh.cc is built as
// C++17, and this header must not use C++20 features.

namespace basilspur::link::internal {

/// Identifies a connection of a mesh.
using ConnectionId = std::uint64_t;

/// The functions through which a mesh reports events. All of them are called on
/// the thread that executes Run().
struct MeshCallbacks {
  std::function<void(ConnectionId, bool outbound)> on_opened;
  std::function<void(ConnectionId, std::string message)> on_received;
  std::function<void(ConnectionId)> on_closed;
  std::function<void()> on_tick;  ///< Called every kTickIntervalMillis.
};

inline constexpr int kTickIntervalMillis = 100;

/// Sends and receives binary messages over outbound and inbound WebSocket
/// connections.
///
/// Thread safety: Run() is called by one thread; the other methods may be
/// called from any thread.
class WebsocketMesh {
 public:
  explicit WebsocketMesh(MeshCallbacks callbacks);
  ~WebsocketMesh();

  WebsocketMesh(const WebsocketMesh&) = delete;
  WebsocketMesh& operator=(const WebsocketMesh&) = delete;

  /// Binds the address. Returns an error message, empty on success.
  /// Precondition: before Run().
  std::string Listen(const std::string& ip, std::uint16_t port);

  /// Starts to connect. The result is reported by `on_opened` or `on_closed`
  /// with the returned id.
  ConnectionId Connect(const std::string& address);

  /// Sends a message; it is discarded if the connection has ended.
  void Send(ConnectionId connection, std::string message);

  /// Closes the socket without a close handshake.
  void Close(ConnectionId connection);

  /// Processes all connections until Stop() is called.
  void Run();
  void Stop();

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace basilspur::link::internal

#endif  // BASILSPUR_LINK_WEBSOCKET_MESH_H_
