#include "net/http_server.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

#include "net/address.h"
#include "net/spawn.h"

namespace basilspur::net {

namespace beast = boost::beast;
namespace http = beast::http;

static constexpr std::chrono::seconds kIdleTimeout(60);
static constexpr Millis kAcceptRetryInterval(50);

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

  bool IsDraining() const { return options.draining && *options.draining; }
};

using SharedServerState = std::shared_ptr<const ServerState>;

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

static asio::awaitable<void> ServeConnection(beast::tcp_stream stream,
                                             SharedServerState state) {
  beast::flat_buffer buffer;
  for (;;) {
    stream.expires_after(kIdleTimeout);
    http::request_parser<http::string_body> parser;
    parser.body_limit(state->options.max_body_bytes);
    error_code failure;
    co_await http::async_read(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      if (IsMalformed(failure)) co_await RejectRequest(stream, failure);
      co_return;
    }
    if (HasUnsupportedTransferCoding(parser.get())) {
      co_await RejectRequest(stream, http::error::bad_transfer_encoding);
      co_return;
    }
    const ActiveRequest active(state->options.active_requests);
    const bool client_keeps_alive = parser.get().keep_alive();
    HttpResponse response =
        co_await state->handler(ToRequest(parser.release()));
    const bool keep_alive = client_keeps_alive && !state->IsDraining();
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
    if (failure || !keep_alive) co_return;
  }
}

static asio::awaitable<void> AcceptLoop(asio::io_context& context,
                                        asio::ip::tcp::acceptor acceptor,
                                        SharedServerState state) {
  for (;;) {
    error_code failure;
    asio::ip::tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure == asio::error::operation_aborted) co_return;
    if (failure) {
      co_await Sleep(kAcceptRetryInterval);
      continue;
    }
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    // If the handler fails, the caller gets no answer: it is not known what was
    // done.
    Spawn(context, ServeConnection(beast::tcp_stream(std::move(socket)), state),
          "http_connection");
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
  asio::ip::tcp::acceptor& acceptor = ValueOf(listening);
  const std::uint16_t port = acceptor.local_endpoint().port();
  Spawn(context,
        AcceptLoop(context, std::move(acceptor),
                   std::make_shared<ServerState>(
                       ServerState{std::move(handler), options})),
        "http_accept");
  return port;
}

}  // namespace basilspur::net
