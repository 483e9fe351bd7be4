#include "net/http_server.h"

#include <poll.h>

#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "net/address.h"
#include "net/http_shutdown.h"
#include "net/request_arrival.h"
#include "net/server_socket.h"
#include "net/spawn.h"

namespace basilspur::net {

namespace beast = boost::beast;
namespace http = beast::http;

static constexpr std::chrono::seconds kIdleTimeout(60);
static constexpr Millis kAcceptRetryInterval(50);
/// Connections accepted at once, so that a slow machine does not accept only
/// one in each round of its event loop.
static constexpr int kMaxAcceptBatch = 64;
/// How long the server waits for the peer to close after the last response.
static constexpr std::chrono::milliseconds kLingerTimeout(500);
/// In a shutdown, a new connection is left open this long for its first
/// request, which usually follows at once.
static constexpr std::chrono::milliseconds kFirstRequestDelay(100);

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

  bool IsShuttingDown() const {
    return options.shutdown && options.shutdown->HasBegun();
  }
};

using SharedServerState = std::shared_ptr<const ServerState>;
using RequestParser = http::request_parser<http::string_body>;

/// A connection of a server.
class ServerConnection final : public ServerSocket {
 public:
  ServerConnection(asio::ip::tcp::socket socket, HttpShutdown* shutdown)
      : ServerSocket(shutdown), stream_(std::move(socket)) {}

  beast::tcp_stream& Stream() { return stream_; }

  /// Reads the next request. Fails with operation_aborted if the connection is
  /// idle and the server shuts down.
  asio::awaitable<error_code> ReadRequest(RequestParser& parser) {
    error_code failure;
    parser_ = &parser;
    do {
      failure = {};
      co_await http::async_read(
          stream_, buffer_, parser,
          asio::redirect_error(asio::use_awaitable, failure));
    } while (failure == asio::error::operation_aborted && HasInput());
    parser_ = nullptr;
    has_had_request_ = true;
    co_return failure;
  }

  /// Ends a wait for a request. If a read has completed meanwhile, its data is
  /// processed.
  void CloseIfIdle() override {
    if (!parser_ || HasInput()) return;
    const auto age = std::chrono::steady_clock::now() - opened_at_;
    if (!has_had_request_ && age < kFirstRequestDelay) return;
    stream_.cancel();
  }

 private:
  /// Whether a part of the next request has arrived.
  bool HasInput() {
    error_code failure;
    return parser_->got_some() || buffer_.size() > 0 ||
           stream_.socket().available(failure) > 0;
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  RequestParser* parser_ = nullptr;  ///< Set while a request is awaited.
  bool has_had_request_ = false;
  const std::chrono::steady_clock::time_point opened_at_ =
      std::chrono::steady_clock::now();
};

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

/// True if the error lies in the bytes that the peer sent, not in the
/// connection.
static bool IsMalformed(const error_code& failure) {
  return failure.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         failure != http::error::end_of_stream &&
         failure != http::error::partial_message;
}

static bool HasUnsupportedTransferCoding(
    const http::request<http::string_body>& message) {
  const auto coding = message.find(http::field::transfer_encoding);
  return coding != message.end() && !beast::iequals(coding->value(), "chunked");
}

static asio::awaitable<void> RejectRequest(beast::tcp_stream& stream,
                                           error_code reason) {
  const http::status status = reason == http::error::body_limit
                                  ? http::status::payload_too_large
                                  : http::status::bad_request;
  http::response<http::string_body> message(status, 11);
  message.keep_alive(false);
  message.body() = reason.message() + "\n";
  message.prepare_payload();
  error_code ignored;
  co_await http::async_write(
      stream, message, asio::redirect_error(asio::use_awaitable, ignored));
}

/// Ends a connection after its last response. Unread input when a socket is
/// closed would reset the connection, and what the peer has not received of the
/// response would be lost.
static asio::awaitable<void> CloseAfterResponse(beast::tcp_stream& stream) {
  error_code failure;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
  stream.expires_after(kLingerTimeout);
  std::array<char, 4'096> discarded;
  while (!failure) {
    co_await stream.async_read_some(
        asio::buffer(discarded),
        asio::redirect_error(asio::use_awaitable, failure));
  }
}

/// Returns whether a response has been sent after which the connection closes;
/// false if it has failed or was idle.
static asio::awaitable<bool> ServeRequests(ServerConnection& connection,
                                           SharedServerState state) {
  beast::tcp_stream& stream = connection.Stream();
  for (;;) {
    stream.expires_after(kIdleTimeout);
    RequestParser parser;
    parser.body_limit(state->options.max_body_bytes);
    error_code failure = co_await connection.ReadRequest(parser);
    if (failure) {
      if (!IsMalformed(failure)) co_return false;
      co_await RejectRequest(stream, failure);
      co_return true;
    }
    if (HasUnsupportedTransferCoding(parser.get())) {
      co_await RejectRequest(stream, http::error::bad_transfer_encoding);
      co_return true;
    }
    const Millis age = TimeSinceLastData(stream.socket());
    if (state->options.on_abandoned && IsClosedByPeer(stream.socket())) {
      state->options.on_abandoned(age);
      co_return false;
    }
    const ActiveRequest active(state->options.active_requests);
    const bool client_keeps_alive = parser.get().keep_alive();
    HttpRequest request = ToRequest(parser.release());
    request.age = age;
    HttpResponse response = co_await state->handler(std::move(request));
    const bool keep_alive = client_keeps_alive && !state->IsShuttingDown();
    http::response<http::string_body> message(
        static_cast<http::status>(response.status), 11);
    message.set(http::field::content_type, response.content_type);
    for (const auto& [name, value] : response.headers) message.set(name, value);
    message.keep_alive(keep_alive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    stream.expires_after(kIdleTimeout);
    co_await http::async_write(
        stream, message, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) co_return false;
    if (!keep_alive) co_return true;
  }
}

static asio::awaitable<void> ServeConnection(
    std::unique_ptr<ServerConnection> connection, SharedServerState state) {
  const bool responded = co_await ServeRequests(*connection, std::move(state));
  if (responded) co_await CloseAfterResponse(connection->Stream());
}

static void StartConnection(asio::io_context& context,
                            asio::ip::tcp::socket socket,
                            const SharedServerState& state) {
  error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  auto connection = std::make_unique<ServerConnection>(std::move(socket),
                                                       state->options.shutdown);
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
                       ServerState{std::move(handler), options})),
        "http_accept");
  return port;
}

}  // namespace basilspur::net
