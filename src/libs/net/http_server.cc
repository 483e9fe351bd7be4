#include "net/http_server.h"

#include <poll.h>

#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "base/logging.h"
#include "net/address.h"
#include "net/connection_limiter.h"
#include "net/http_shutdown.h"
#include "net/request_arrival.h"
#include "net/server_connection.h"
#include "net/spawn.h"

namespace basilspur::net {

namespace beast = boost::beast;
namespace http = beast::http;

static constexpr LogCategory kLog("http");
static constexpr Millis kAcceptRetryInterval(50);
/// Connections accepted at once, so that a slow machine does not accept only
/// one in each round of its event loop.
static constexpr int kMaxAcceptBatch = 64;

/// Counts a request as active while it exists.
class ActiveRequest {
 public:
  explicit ActiveRequest(int* count) : count_(count) {
    if (count_) ++*count_;
  }
  ~ActiveRequest() {
    if (count_) --*count_;
  }
  ActiveRequest(const ActiveRequest&) = delete;
  ActiveRequest& operator=(const ActiveRequest&) = delete;

 private:
  int* count_;
};

/// The state that all connections of a server share.
struct ServerState {
  HttpHandler handler;
  HttpServerOptions options;
  std::shared_ptr<ConnectionLimiter> connections;

  bool IsShuttingDown() const {
    return options.shutdown && options.shutdown->HasBegun();
  }
};

using SharedServerState = std::shared_ptr<const ServerState>;
using Response = ServerConnection::Response;

/// The listening socket of a server.
class ServerListener final : public ServerSocket {
 public:
  ServerListener(asio::ip::tcp::acceptor acceptor, HttpShutdown* shutdown)
      : ServerSocket(shutdown), acceptor_(std::move(acceptor)) {
    error_code ignored;
    acceptor_.non_blocking(true, ignored);
  }

  asio::ip::tcp::acceptor& Acceptor() { return acceptor_; }

  void CloseIfIdle() override {
    if (!acceptor_.is_open()) return;
    pollfd listening = {acceptor_.native_handle(), POLLIN, 0};
    const bool connection_waits = poll(&listening, 1, /*timeout=*/0) > 0;
    if (connection_waits) return;
    error_code ignored;
    acceptor_.close(ignored);
  }

 private:
  asio::ip::tcp::acceptor acceptor_;
};

static HttpRequest ToRequest(http::request<http::string_body>&& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers[std::string(field.name_string())] =
        std::string(field.value());
  }
  request.body = std::move(message.body());
  return request;
}

static bool HasUnsupportedTransferCoding(
    const http::request<http::string_body>& message) {
  const auto coding = message.find(http::field::transfer_encoding);
  return coding != message.end() && !beast::iequals(coding->value(), "chunked");
}

static http::status StatusOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kMalformed:
      return http::status::bad_request;
    case Refusal::kHeaderTooLarge:
      return http::status::request_header_fields_too_large;
    case Refusal::kBodyTooLarge:
      return http::status::payload_too_large;
    case Refusal::kRequestTimeout:
    case Refusal::kResponseTimeout:
      return http::status::request_timeout;
    case Refusal::kMemory:
    case Refusal::kConnections:
      return http::status::service_unavailable;
  }
  return http::status::bad_request;
}

static std::string_view NameOf(Refusal refusal) {
  return kRefusalNames[static_cast<std::size_t>(refusal)];
}

static void NoteRefusal(const ServerState& state, Refusal refusal,
                        const asio::ip::tcp::socket& socket) {
  if (state.options.refusals)
    ++(*state.options.refusals)[static_cast<std::size_t>(refusal)];
  error_code ignored;
  kLog.Info("event=client_refused reason=" + std::string(NameOf(refusal)) +
            " listener=" + state.options.name +
            " client=" + socket.remote_endpoint(ignored).address().to_string() +
            " connections=" + std::to_string(state.connections->Size()));
}

static Response MakeRefusal(Refusal refusal) {
  Response message(StatusOf(refusal), 11);
  message.keep_alive(false);
  message.body() =
      "the request was not handled: " + std::string(NameOf(refusal)) + "\n";
  message.prepare_payload();
  return message;
}

/// Refuses the request that has not been read, or ends an evicted connection.
/// Returns whether a response has been sent after which the connection closes.
static asio::awaitable<bool> Refuse(ServerConnection& connection,
                                    const ServerState& state, Refusal refusal) {
  NoteRefusal(state, refusal, connection.Stream().socket());
  const Response message = MakeRefusal(refusal);
  if (connection.EvictedFor()) {
    if (connection.Phase() == ConnectionPhase::kReading)
      connection.WriteAtOnce(message);
    co_return false;
  }
  co_return !co_await connection.Write(message);
}

static Response ToResponse(HttpResponse&& response, bool keep_alive) {
  Response message(static_cast<http::status>(response.status), 11);
  message.set(http::field::content_type, response.content_type);
  for (const auto& [name, value] : response.headers) message.set(name, value);
  message.keep_alive(keep_alive);
  message.body() = std::move(response.body);
  message.prepare_payload();
  return message;
}

/// Returns whether a response has been sent after which the connection closes;
/// false if it has failed or was idle.
static asio::awaitable<bool> ServeRequests(ServerConnection& connection,
                                           SharedServerState state) {
  asio::ip::tcp::socket& socket = connection.Stream().socket();
  for (;;) {
    ServerConnection::Parser parser;
    const error_code read_failure = co_await connection.ReadRequest(parser);
    std::optional<Refusal> refusal;
    if (read_failure) {
      refusal = connection.RefusalOf(read_failure, parser);
      if (!refusal) co_return false;
    } else if (HasUnsupportedTransferCoding(parser.get())) {
      refusal = Refusal::kMalformed;
    }
    if (refusal) co_return co_await Refuse(connection, *state, *refusal);
    const Millis age = TimeSinceLastData(socket);
    if (state->options.on_abandoned && IsClosedByPeer(socket)) {
      state->options.on_abandoned(age);
      co_return false;
    }
    const ActiveRequest active(state->options.active_requests);
    const bool client_keeps_alive = parser.get().keep_alive();
    HttpRequest request = ToRequest(parser.release());
    request.age = age;
    HttpResponse response = co_await state->handler(std::move(request));
    const bool keep_alive = client_keeps_alive && !state->IsShuttingDown();
    const error_code failure =
        co_await connection.Write(ToResponse(std::move(response), keep_alive));
    if (failure) {
      const bool timed_out = failure == beast::error::timeout;
      if (connection.EvictedFor()) refusal = connection.EvictedFor();
      if (timed_out) refusal = Refusal::kResponseTimeout;
      if (refusal) NoteRefusal(*state, *refusal, socket);
      co_return false;
    }
    if (!keep_alive) co_return true;
  }
}

static asio::awaitable<void> ServeConnection(
    std::unique_ptr<ServerConnection> connection, SharedServerState state) {
  const bool responded = co_await ServeRequests(*connection, std::move(state));
  if (responded) co_await connection->CloseAfterResponse();
}

static void StartConnection(asio::io_context& context,
                            asio::ip::tcp::socket socket,
                            const SharedServerState& state) {
  if (!state->connections->MakeRoom()) {
    NoteRefusal(*state, Refusal::kConnections, socket);
    return;
  }
  error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  auto connection = std::make_unique<ServerConnection>(
      std::move(socket), state->options.shutdown,
      SharedBounds{state->options.limits, state->connections,
                   state->options.memory_budget});
  // If the handler fails, the caller gets no answer: it is not known what was
  // done.
  Spawn(context, ServeConnection(std::move(connection), state),
        "http_connection");
}

/// Accepts the connections that wait already, up to kMaxAcceptBatch.
static void AcceptWaiting(asio::io_context& context,
                          asio::ip::tcp::acceptor& acceptor,
                          const SharedServerState& state) {
  for (int i = 0; i < kMaxAcceptBatch; ++i) {
    error_code failure;
    asio::ip::tcp::socket socket = acceptor.accept(failure);
    if (failure) return;
    StartConnection(context, std::move(socket), state);
  }
}

static asio::awaitable<void> AcceptLoop(
    asio::io_context& context, std::unique_ptr<ServerListener> listener,
    SharedServerState state) {
  asio::ip::tcp::acceptor& acceptor = listener->Acceptor();
  while (acceptor.is_open()) {
    error_code failure;
    asio::ip::tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure == asio::error::operation_aborted) co_return;
    if (failure) {
      co_await Sleep(kAcceptRetryInterval);
      continue;
    }
    StartConnection(context, std::move(socket), state);
    AcceptWaiting(context, acceptor, state);
  }
}

Result<asio::ip::tcp::acceptor> Listen(asio::io_context& context,
                                       const std::string& address) {
  const Result<Address> parsed = ParseAddress(address);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(ValueOf(parsed).ip), ValueOf(parsed).port);
  try {
    return asio::ip::tcp::acceptor(context, endpoint, /*reuse_addr=*/true);
  } catch (const boost::system::system_error& failure) {
    return Error{ErrorCode::kUnavailable, "listen", address, failure.what()};
  }
}

Result<std::uint16_t> ServeHttp(asio::io_context& context,
                                const std::string& address, HttpHandler handler,
                                HttpServerOptions options) {
  Result<asio::ip::tcp::acceptor> listening = Listen(context, address);
  if (!IsOk(listening)) return ErrorOf(listening);
  auto listener = std::make_unique<ServerListener>(
      std::move(ValueOf(listening)), options.shutdown);
  const std::uint16_t port = listener->Acceptor().local_endpoint().port();
  Spawn(context,
        AcceptLoop(context, std::move(listener),
                   std::make_shared<ServerState>(
                       ServerState{std::move(handler), options,
                                   std::make_shared<ConnectionLimiter>(
                                       options.limits.max_connections)})),
        "http_accept");
  return port;
}

}  // namespace basilspur::net
