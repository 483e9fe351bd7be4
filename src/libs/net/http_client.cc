#include "net/http_client.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "net/address.h"
#include "net/call_limiter.h"
#include "net/call_slots.h"

namespace basilspur::net {

namespace beast = boost::beast;
namespace http = beast::http;

/// A machine without power never refuses a connection, so the attempt has to
/// time out. A running peer accepts within far less than this.
static constexpr Millis kConnectTimeout(500);
static constexpr std::size_t kMaxIdlePerPeer = 12;
static constexpr Millis kSweepInterval(500);
/// Least time for the exchange of a call that has waited for a connection until
/// shortly before its time-out.
static constexpr Millis kMinExchangeTime(10);
/// The longest answers are pages of the store, of 1 MB in base64, and VMs'
/// lists of ends.
static constexpr std::uint64_t kMaxResponseBytes = 8ULL << 20;
static constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;
/// Bounds the headers, the header of a chunk with its extension, and the
/// trailers, which are kept until they end.
static constexpr std::size_t kMaxBufferBytes = 64 * 1024;

static constexpr char kLimitStep[] = "limit";
static constexpr char kConnectStep[] = "connect";
static constexpr char kIntroduceStep[] = "introduce";
static constexpr char kSendStep[] = "send";
static constexpr char kReceiveStep[] = "receive";
/// Initial capacity of the read buffer. Smaller reads of a large response would
/// each take an iteration of the event loop.
static constexpr std::size_t kReadBufferBytes = 16 * 1024;

using Stream = std::unique_ptr<beast::tcp_stream>;

/// Whether an idle connection has neither been closed by the peer nor received
/// anything, which a peer sends only before it closes. A request that is
/// written to a closed connection would be in doubt.
static bool IsOpen(beast::tcp_stream& stream) {
  char byte = 0;
  error_code failure;
  asio::ip::tcp::socket& socket = stream.socket();
  socket.non_blocking(true, failure);
  if (failure) return false;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                 failure);
  return failure == asio::error::would_block;
}

struct HttpClient::Connection {
  Stream stream;
  bool introduced = false;  ///< An introduction was answered on it.
  bool keep = false;        ///< It may serve another call.
  Millis idle_since;
};

struct HttpClient::Message {
  std::string address;
  HttpRequest request;
  Millis timeout;
  std::optional<Introduction> introduction;
};

class HttpClient::Private {
 public:
  Private(asio::io_context& context, HttpClientOptions options)
      : context_(context),
        options_(options),
        limiter_(options.max_calls_to_silent_peer),
        slots_(context, options.max_connections_per_peer) {}

  CallLimiter& Limiter() { return limiter_; }
  CallSlots& Slots() { return slots_; }
  Millis Now() const { return clock_.Monotonic(); }

  /// A call to the peer begins.
  void OnCall(const std::string& address) {
    peers_[address].disconnecting = false;
    if (Now() - last_sweep_ < kSweepInterval) return;
    last_sweep_ = Now();
    for (auto& [key, peer] : peers_) CloseOldIdle(peer);
  }

  void Disconnect(const std::string& address) {
    const auto found = peers_.find(address);
    if (found == peers_.end()) return;
    found->second.idle.clear();
    found->second.disconnecting = true;
  }

  /// Returns a connection that the peer has not closed, as far as is known;
  /// an introduced one, if there is one.
  std::optional<Connection> TakeIdle(const std::string& address) {
    std::vector<Connection>& idle = peers_[address].idle;
    const auto is_introduced = [](const Connection& connection) {
      return connection.introduced;
    };
    std::stable_partition(idle.begin(), idle.end(), std::not_fn(is_introduced));
    while (!idle.empty()) {
      Connection connection = std::move(idle.back());
      idle.pop_back();
      if (IsOpen(*connection.stream)) return connection;
    }
    return std::nullopt;
  }

  /// The peer may have become unreachable: what is sent on its other idle
  /// connections might be executed late or never.
  void DropIdle(const std::string& address) { peers_[address].idle.clear(); }

  void PutIdle(const std::string& address, Connection connection) {
    Peer& peer = peers_[address];
    const bool has_room = peer.idle.size() < kMaxIdlePerPeer;
    if (!connection.keep || peer.disconnecting || !has_room) return;
    connection.idle_since = Now();
    peer.idle.push_back(std::move(connection));
  }

  asio::awaitable<Result<Stream>> Connect(std::string address, Millis timeout) {
    const Result<Address> parsed = ParseAddress(address);
    if (!IsOk(parsed)) co_return ErrorOf(parsed);
    auto stream = std::make_unique<beast::tcp_stream>(context_);
    const Millis connect_timeout =
        timeout < kConnectTimeout ? timeout : kConnectTimeout;
    stream->expires_after(std::chrono::milliseconds(connect_timeout.count));
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(ValueOf(parsed).ip), ValueOf(parsed).port);
    error_code failure;
    co_await stream->async_connect(
        endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      const bool refused = failure == asio::error::connection_refused;
      co_return Error{refused ? ErrorCode::kRefused : ErrorCode::kUnavailable,
                      kConnectStep, address, failure.message()};
    }
    stream->socket().set_option(asio::ip::tcp::no_delay(true));
    co_return stream;
  }

  /// Sends the message's request on a connection, after its introduction if
  /// there has been none.
  asio::awaitable<Result<HttpResponse>> Converse(Connection& connection,
                                                 const Message& message) {
    if (message.introduction && !connection.introduced) {
      Result<HttpResponse> response =
          co_await Exchange(connection, message, message.introduction->request);
      if (!IsOk(response)) {
        Error error = ErrorOf(response);
        error.step = kIntroduceStep;
        co_return error;
      }
      const AfterIntroduction next =
          message.introduction->on_response(ValueOf(response));
      connection.introduced = next != AfterIntroduction::kCloseConnection;
      if (!connection.introduced) {
        connection.keep = false;
        ValueOf(response).is_from_other_process = true;
      }
      if (next != AfterIntroduction::kSendRequest) co_return response;
    }
    co_return co_await Exchange(connection, message, message.request);
  }

  asio::awaitable<Result<HttpResponse>> Exchange(Connection& connection,
                                                 const Message& call,
                                                 const HttpRequest& request) {
    beast::tcp_stream& stream = *connection.stream;
    const std::string& address = call.address;
    connection.keep = false;
    http::request<http::string_body> message(
        http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, address);
    for (const auto& [name, value] : request.headers) message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    stream.expires_after(std::chrono::milliseconds(call.timeout.count));
    error_code failure;
    co_await http::async_write(
        stream, message, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return Error{ErrorCode::kUnavailable, kSendStep, address,
                      failure.message()};
    }
    beast::flat_buffer buffer(kMaxBufferBytes);
    buffer.reserve(kReadBufferBytes);
    http::response_parser<http::string_body> parser;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(kMaxResponseBytes);
    co_await http::async_read(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      const bool timed_out = failure == beast::error::timeout;
      co_return Error{timed_out ? ErrorCode::kTimeout : ErrorCode::kUnavailable,
                      kReceiveStep, address, failure.message()};
    }
    connection.keep = parser.get().keep_alive();
    HttpResponse response;
    response.status = parser.get().result_int();
    response.body = std::move(parser.get().body());
    for (const auto& field : parser.get()) {
      response.headers[std::string(field.name_string())] =
          std::string(field.value());
    }
    co_return response;
  }

 private:
  struct Peer {
    std::vector<Connection> idle;  ///< Of those alike, the newest is last.
    bool disconnecting = false;    ///< No call since Disconnect.
  };

  void CloseOldIdle(Peer& peer) const {
    std::erase_if(peer.idle, [&](const Connection& connection) {
      return Now() - connection.idle_since > options_.max_idle_age;
    });
  }

  asio::io_context& context_;
  HttpClientOptions options_;
  BootClock clock_;
  CallLimiter limiter_;
  CallSlots slots_;
  std::map<std::string, Peer> peers_;
  Millis last_sweep_;
};

HttpClient::HttpClient(asio::io_context& context, HttpClientOptions options)
    : d_(std::make_shared<Private>(context, options)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Disconnect(const std::string& address) {
  d_->Disconnect(address);
}

/// Ends a call that has begun, also if an exception leaves it.
class HttpClient::CountedCall {
 public:
  CountedCall(CallLimiter& limiter, std::string address)
      : limiter_(limiter), address_(std::move(address)) {}
  ~CountedCall() { limiter_.End(address_, outcome); }
  CountedCall(const CountedCall&) = delete;
  CountedCall& operator=(const CountedCall&) = delete;

  CallLimiter::Outcome outcome = CallLimiter::Outcome::kFailed;

 private:
  CallLimiter& limiter_;
  std::string address_;
};

/// Releases a slot at the end of its call, also if an exception leaves it.
class HttpClient::HeldSlot {
 public:
  HeldSlot(CallSlots& slots, std::string address)
      : slots_(slots), address_(std::move(address)) {}
  ~HeldSlot() { slots_.Release(address_); }
  HeldSlot(const HeldSlot&) = delete;
  HeldSlot& operator=(const HeldSlot&) = delete;

 private:
  CallSlots& slots_;
  std::string address_;
};

static CallLimiter::Outcome OutcomeOf(const Result<HttpResponse>& result,
                                      Millis timeout) {
  using Outcome = CallLimiter::Outcome;
  if (IsOk(result) || ErrorOf(result).code == ErrorCode::kRefused)
    return Outcome::kAnswered;
  const bool silent = ErrorOf(result).code == ErrorCode::kTimeout ||
                      ErrorOf(result).step == kConnectStep;
  // A call with little time left says nothing of the peer.
  return silent && timeout >= kConnectTimeout ? Outcome::kTimedOut
                                              : Outcome::kFailed;
}

asio::awaitable<Result<HttpResponse>> HttpClient::Call(
    std::string address, HttpRequest request, Millis timeout,
    std::optional<Introduction> introduction) {
  const std::shared_ptr<Private> d = d_;
  if (!d->Limiter().TryBegin(address)) {
    co_return Error{ErrorCode::kUnavailable, kLimitStep, address,
                    "the peer does not answer the calls under way"};
  }
  CountedCall call(d->Limiter(), address);
  d->OnCall(address);
  const Millis started = d->Now();
  if (!co_await d->Slots().Acquire(address, timeout)) {
    co_return Error{ErrorCode::kUnavailable, kLimitStep, address,
                    "all connections to the peer are in use"};
  }
  const HeldSlot slot(d->Slots(), address);
  const Millis left =
      std::max(timeout - (d->Now() - started), kMinExchangeTime);
  const auto message = std::make_shared<Message>(
      Message{address, std::move(request), left, std::move(introduction)});
  Result<HttpResponse> result = co_await CallAnyConnection(d, message);
  call.outcome = OutcomeOf(result, timeout);
  co_return result;
}

asio::awaitable<Result<HttpResponse>> HttpClient::CallAnyConnection(
    std::shared_ptr<Private> d, std::shared_ptr<const Message> message) {
  const std::string& address = message->address;
  std::optional<Error> idle_error;
  if (std::optional<Connection> idle = d->TakeIdle(address)) {
    Result<HttpResponse> result = co_await d->Converse(*idle, *message);
    if (IsOk(result)) {
      d->PutIdle(address, std::move(*idle));
      co_return result;
    }
    if (ErrorOf(result).code == ErrorCode::kTimeout) {
      d->DropIdle(address);
      co_return result;
    }
    if (ErrorOf(result).step == kReceiveStep) idle_error = ErrorOf(result);
  }
  Result<Stream> connected = co_await d->Connect(address, message->timeout);
  if (!IsOk(connected)) {
    // The peer may have processed the request that was sent on the broken
    // connection, so its error is reported instead of the failure to connect.
    if (idle_error) co_return *idle_error;
    co_return ErrorOf(connected);
  }
  Connection connection;
  connection.stream = std::move(ValueOf(connected));
  Result<HttpResponse> result = co_await d->Converse(connection, *message);
  if (IsOk(result)) {
    d->PutIdle(address, std::move(connection));
    ValueOf(result).is_to_second_copy = idle_error.has_value();
    co_return result;
  }
  if (ErrorOf(result).code == ErrorCode::kTimeout) d->DropIdle(address);
  if (idle_error && ErrorOf(result).step != kReceiveStep) co_return *idle_error;
  co_return result;
}

}  // namespace basilspur::net
