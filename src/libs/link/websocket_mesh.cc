#include "link/websocket_mesh.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace basilspur::link::internal {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

static constexpr std::size_t kMaxMessageBytes = 8U << 20;
static constexpr long kHandshakeTimeoutMillis = 2'000;

class WebsocketMesh::Private {
 public:
  explicit Private(MeshCallbacks callbacks)
      : callbacks_(std::move(callbacks)), tick_timer_(io_context_) {
    InitEndpoint(server_);
    InitEndpoint(client_);
    server_.set_reuse_addr(true);
    server_.set_open_handler([this](const connection_hdl& handle) {
      const ConnectionId id = ++last_id_;
      inbound_[id] = handle;
      SetHandlers(*server_.get_con_from_hdl(handle), id);
      callbacks_.on_opened(id, /*outbound=*/false);
    });
  }

  std::string Listen(const std::string& ip, std::uint16_t port) {
    websocketpp::lib::error_code failure;
    const boost::asio::ip::tcp::endpoint endpoint(
        boost::asio::ip::make_address(ip), port);
    server_.listen(endpoint, failure);
    if (failure) return failure.message();
    server_.start_accept(failure);
    return failure ? failure.message() : "";
  }

  ConnectionId Connect(const std::string& address) {
    const ConnectionId id = ++last_id_;
    boost::asio::post(io_context_,
                      [this, id, address] { StartConnect(id, address); });
    return id;
  }

  void Send(ConnectionId id, std::string message) {
    boost::asio::post(io_context_, [this, id, message = std::move(message)] {
      websocketpp::lib::error_code ignored;
      constexpr auto kBinary = websocketpp::frame::opcode::binary;
      if (const auto in = inbound_.find(id); in != inbound_.end()) {
        server_.send(in->second, message, kBinary, ignored);
      } else if (const auto out = outbound_.find(id); out != outbound_.end()) {
        client_.send(out->second, message, kBinary, ignored);
      }
    });
  }

  void Close(ConnectionId id) {
    boost::asio::post(io_context_, [this, id] {
      // A close handshake would wait for a peer that may not respond.
      if (const auto in = inbound_.find(id); in != inbound_.end()) {
        CloseSocket(server_, in->second);
      } else if (const auto out = outbound_.find(id); out != outbound_.end()) {
        CloseSocket(client_, out->second);
      }
    });
  }

  void Run() {
    ScheduleTick();
    io_context_.run();
  }

  void Stop() { io_context_.stop(); }

 private:
  template <class Endpoint>
  void InitEndpoint(Endpoint& endpoint) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&io_context_);
    endpoint.set_max_message_size(kMaxMessageBytes);
    endpoint.set_open_handshake_timeout(kHandshakeTimeoutMillis);
  }

  template <class Connection>
  void SetHandlers(Connection& connection, ConnectionId id) {
    using MessagePtr = typename Connection::message_ptr;
    connection.set_message_handler(
        [this, id](const connection_hdl&, const MessagePtr& message) {
          callbacks_.on_received(id, message->get_payload());
        });
    connection.set_close_handler(
        [this, id](const connection_hdl&) { RemoveConnection(id); });
    connection.set_fail_handler(
        [this, id](const connection_hdl&) { RemoveConnection(id); });
  }

  void StartConnect(ConnectionId id, const std::string& address) {
    websocketpp::lib::error_code failure;
    const Client::connection_ptr connection =
        client_.get_connection("ws://" + address + "/link", failure);
    if (failure) {
      callbacks_.on_closed(id);
      return;
    }
    SetHandlers(*connection, id);
    connection->set_open_handler([this, id](const connection_hdl&) {
      callbacks_.on_opened(id, /*outbound=*/true);
    });
    outbound_[id] = connection->get_handle();
    client_.connect(connection);
  }

  template <class Endpoint>
  static void CloseSocket(Endpoint& endpoint, const connection_hdl& handle) {
    websocketpp::lib::error_code failure;
    const auto connection = endpoint.get_con_from_hdl(handle, failure);
    if (failure) return;
    boost::system::error_code ignored;
    connection->get_raw_socket().close(ignored);
  }

  void RemoveConnection(ConnectionId id) {
    inbound_.erase(id);
    outbound_.erase(id);
    callbacks_.on_closed(id);
  }

  void ScheduleTick() {
    tick_timer_.expires_after(std::chrono::milliseconds(kTickIntervalMillis));
    tick_timer_.async_wait([this](const boost::system::error_code& failure) {
      if (failure) return;
      callbacks_.on_tick();
      ScheduleTick();
    });
  }

  MeshCallbacks callbacks_;
  boost::asio::io_context io_context_;
  boost::asio::steady_timer tick_timer_;
  Server server_;
  Client client_;
  std::atomic<ConnectionId> last_id_{0};
  std::map<ConnectionId, connection_hdl> inbound_;
  std::map<ConnectionId, connection_hdl> outbound_;
};

WebsocketMesh::WebsocketMesh(MeshCallbacks callbacks)
    : d_(std::make_unique<Private>(std::move(callbacks))) {}

WebsocketMesh::~WebsocketMesh() = default;

std::string WebsocketMesh::Listen(const std::string& ip, std::uint16_t port) {
  return d_->Listen(ip, port);
}

ConnectionId WebsocketMesh::Connect(const std::string& address) {
  return d_->Connect(address);
}

void WebsocketMesh::Send(ConnectionId connection, std::string message) {
  d_->Send(connection, std::move(message));
}

void WebsocketMesh::Close(ConnectionId connection) { d_->Close(connection); }

void WebsocketMesh::Run() { d_->Run(); }

void WebsocketMesh::Stop() { d_->Stop(); }

}  // namespace basilspur::link::internal
