#include "front/exchange.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "net/stream_timer.h"

namespace basilspur::front {

using routing::AttemptOutcome;

static constexpr Millis kConnectTimeout(1'000);
/// Responses of a declared length up to this are read completely before any of
/// it is sent to the caller.
static constexpr std::uint64_t kMaxBufferedResponseBytes = 64 * 1024;
static constexpr std::size_t kChunkBytes = 64 * 1024;
static constexpr std::uint64_t kMaxResponseBytes = 1ULL << 40;
static constexpr std::uint32_t kMaxResponseHeaderBytes = 64 * 1024;
static constexpr std::chrono::seconds kCallerWriteTimeout(30);

static bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

/// Erases the fields that apply to one connection and must not be forwarded.
static void EraseHopByHopFields(http::fields& fields) {
  static constexpr std::array kHopByHop = {http::field::connection,
                                           http::field::keep_alive,
                                           http::field::proxy_connection,
                                           http::field::te,
                                           http::field::trailer,
                                           http::field::transfer_encoding,
                                           http::field::upgrade,
                                           http::field::expect,
                                           http::field::proxy_authenticate,
                                           http::field::proxy_authorization};
  const auto connection = fields[http::field::connection];
  std::vector<std::string> connection_options;
  for (const auto& token : http::token_list(connection)) {
    connection_options.emplace_back(token.data(), token.size());
  }
  for (const auto& name : connection_options) {
    if (!EqualIgnoringCase(name, "host")) fields.erase(name);
  }
  for (const auto field : kHopByHop) fields.erase(field);
}

Exchange::Exchange(CallerStream& caller, UpstreamPool& pool, const Clock& clock,
                   const AttemptOptions& options)
    : caller_(caller), pool_(pool), clock_(clock), options_(options) {}

asio::awaitable<AttemptResult> Exchange::Run() {
  const bool connected = co_await Connect();
  if (!connected) co_return result_;
  result_.possibly_sent = true;
  upstream_->stream.expires_after(
      RemainingTime(options_.deadline, clock_.Monotonic()));
  error_code failure;
  if (caller_.IsBodyComplete()) {
    failure = co_await SendBufferedRequest();
  } else {
    result_.body_consumed = true;
    failure = co_await SendStreamedRequest();
  }
  if (result_.caller_failed) co_return result_;
  if (failure == beast::error::timeout) {
    Fail(AttemptOutcome::kSilent, "the target did not read the request");
    co_return result_;
  }
  // After any other write error the target may still have sent a response.
  co_await RelayResponse();
  co_return result_;
}

asio::awaitable<bool> Exchange::Connect() {
  upstream_ = pool_.TakeIdle(options_.target, options_.max_idle_time);
  if (upstream_) co_return true;
  const Millis remaining = options_.deadline - clock_.Monotonic();
  const Millis timeout = std::min(kConnectTimeout, remaining);
  Result<UpstreamPtr> connected =
      co_await pool_.Connect(options_.target, timeout);
  if (!IsOk(connected)) {
    Fail(AttemptOutcome::kNotConnected, ErrorOf(connected).ToString());
    co_return false;
  }
  upstream_ = std::move(ValueOf(connected));
  co_return true;
}

http::request_header<http::fields> Exchange::UpstreamRequestHeader() const {
  http::request_header<http::fields> header = caller_.Header().base();
  EraseHopByHopFields(header);
  header.version(11);
  header.set("X-Request-Id", options_.request_id);
  return header;
}

asio::awaitable<error_code> Exchange::SendBufferedRequest() {
  http::request<http::string_body> message(UpstreamRequestHeader());
  message.body() = caller_.BufferedBody();
  const bool has_content_length = caller_.ContentLength().has_value();
  if (has_content_length || !message.body().empty()) {
    message.content_length(message.body().size());
  }
  error_code failure;
  co_await http::async_write(upstream_->stream, message,
                             RedirectError(failure));
  co_return failure;
}

asio::awaitable<error_code> Exchange::SendStreamedRequest() {
  http::request<http::buffer_body> message(UpstreamRequestHeader());
  const auto length = caller_.ContentLength();
  if (length) {
    message.content_length(*length);
  } else {
    message.chunked(true);
  }
  message.body().data = nullptr;
  message.body().more = true;
  http::request_serializer<http::buffer_body> serializer(message);
  error_code failure;
  co_await http::async_write_header(upstream_->stream, serializer,
                                    RedirectError(failure));
  if (failure) co_return failure;
  std::string chunk = caller_.BufferedBody();
  while (!chunk.empty()) {
    message.body().data = chunk.data();
    message.body().size = chunk.size();
    upstream_->stream.expires_after(
        RemainingTime(options_.deadline, clock_.Monotonic()));
    co_await http::async_write(upstream_->stream, serializer,
                               RedirectError(failure));
    if (failure == http::error::need_buffer) failure = {};
    if (failure) co_return failure;
    const error_code caller_failure = co_await caller_.ReadBodyChunk(chunk);
    if (caller_failure) {
      result_.caller_failed = true;
      Fail(AttemptOutcome::kAnswered, "the caller's request body ended early");
      co_return caller_failure;
    }
  }
  message.body().data = nullptr;
  message.body().size = 0;
  message.body().more = false;
  co_await http::async_write(upstream_->stream, serializer,
                             RedirectError(failure));
  co_return failure;
}

asio::awaitable<void> Exchange::RelayResponse() {
  ResponseParser parser;
  parser.header_limit(kMaxResponseHeaderBytes);
  parser.body_limit(kMaxResponseBytes);
  if (caller_.Header().method() == http::verb::head) parser.skip(true);
  const error_code failure = co_await ReadResponseHeader(parser);
  if (result_.abandoned) {
    // The cause, such as lost connection state on the way to the target, may
    // also affect its idle connections.
    pool_.CloseIdle(options_.target);
    Fail(AttemptOutcome::kSilent,
         "the target gave no answer in its usual time");
    co_return;
  }
  if (failure) {
    FailOnReadError(failure);
    co_return;
  }
  const auto& header = parser.get();
  const bool refused =
      header.result() == http::status::service_unavailable &&
      EqualIgnoringCase(header["Basilspur-Outcome"].to_string(), "not-run");
  if (refused) {
    Fail(AttemptOutcome::kRefused, "the target refused");
    co_return;
  }
  const auto length = parser.content_length();
  if (parser.is_done() || (length && *length <= kMaxBufferedResponseBytes)) {
    co_await RelayBufferedResponse(parser);
  } else {
    co_await RelayStreamedResponse(parser);
  }
}

asio::awaitable<error_code> Exchange::ReadResponseHeader(
    ResponseParser& parser) {
  upstream_->stream.expires_after(
      RemainingTime(options_.deadline, clock_.Monotonic()));
  std::optional<net::StreamTimer> attempt_timer;
  if (options_.attempt_timeout.count > 0) {
    attempt_timer.emplace(upstream_->stream, options_.attempt_timeout,
                          options_.may_abandon);
  }
  error_code failure;
  co_await http::async_read_header(upstream_->stream, upstream_->buffer, parser,
                                   RedirectError(failure));
  result_.abandoned = attempt_timer && attempt_timer->HasCancelled();
  co_return failure;
}

asio::awaitable<error_code> Exchange::ReadWholeBody(ResponseParser& parser,
                                                    std::string& body) {
  std::string chunk(kMaxBufferedResponseBytes, '\0');
  error_code failure;
  while (!parser.is_done() && !failure) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    co_await http::async_read_some(upstream_->stream, upstream_->buffer, parser,
                                   RedirectError(failure));
    if (failure == http::error::need_buffer) failure = {};
    body.append(chunk, 0, chunk.size() - parser.get().body().size);
  }
  co_return failure;
}

http::response_header<http::fields> Exchange::CallerResponseHeader(
    const ResponseParser& parser) const {
  http::response_header<http::fields> header = parser.get().base();
  EraseHopByHopFields(header);
  header.version(11);
  header.set("X-Request-Id", options_.request_id);
  if (options_.close_caller) header.set(http::field::connection, "close");
  return header;
}

asio::awaitable<void> Exchange::RelayBufferedResponse(ResponseParser& parser) {
  std::string body;
  error_code failure = co_await ReadWholeBody(parser, body);
  if (failure) {
    FailOnReadError(failure);
    co_return;
  }
  if (HasExcessBytes()) {
    Fail(AttemptOutcome::kBroken, "the answer is longer than declared");
    co_return;
  }
  http::response<http::string_body> message(CallerResponseHeader(parser));
  message.body() = std::move(body);
  const bool is_head = caller_.Header().method() == http::verb::head;
  const bool may_have_body = message.result() != http::status::no_content &&
                             message.result() != http::status::not_modified;
  if (!is_head && may_have_body) message.content_length(message.body().size());
  FinishAnsweredAttempt(parser);
  result_.response_started = true;
  caller_.Stream().expires_after(kCallerWriteTimeout);
  co_await http::async_write(caller_.Stream(), message, RedirectError(failure));
  result_.caller_failed = failure.failed();
  result_.keep_caller_connection = !failure && !options_.close_caller;
}

asio::awaitable<void> Exchange::RelayStreamedResponse(ResponseParser& parser) {
  http::response<http::buffer_body> message(CallerResponseHeader(parser));
  if (!parser.content_length()) message.chunked(true);
  message.body().data = nullptr;
  message.body().more = true;
  http::response_serializer<http::buffer_body> serializer(message);
  error_code failure;
  result_.response_started = true;
  caller_.Stream().expires_after(kCallerWriteTimeout);
  co_await http::async_write_header(caller_.Stream(), serializer,
                                    RedirectError(failure));
  std::string chunk(kChunkBytes, '\0');
  while (!failure && message.body().more) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    upstream_->stream.expires_after(
        RemainingTime(options_.deadline, clock_.Monotonic()));
    error_code read_failure;
    co_await http::async_read_some(upstream_->stream, upstream_->buffer, parser,
                                   RedirectError(read_failure));
    if (read_failure == http::error::need_buffer) read_failure = {};
    if (read_failure) {
      FailOnReadError(read_failure);
      co_return;
    }
    if (parser.is_done() && HasExcessBytes()) {
      Fail(AttemptOutcome::kBroken, "the answer is longer than declared");
      co_return;
    }
    message.body().data = chunk.data();
    message.body().size = chunk.size() - parser.get().body().size;
    message.body().more = !parser.is_done();
    caller_.Stream().expires_after(kCallerWriteTimeout);
    co_await http::async_write(caller_.Stream(), serializer,
                               RedirectError(failure));
    if (failure == http::error::need_buffer) failure = {};
  }
  result_.caller_failed = failure.failed();
  result_.keep_caller_connection = !failure && !options_.close_caller;
  if (!failure) {
    FinishAnsweredAttempt(parser);
  } else {
    Fail(AttemptOutcome::kAnswered, "the caller's connection broke");
  }
}

void Exchange::FinishAnsweredAttempt(const ResponseParser& parser) {
  result_.outcome = AttemptOutcome::kAnswered;
  const bool reusable = parser.keep_alive() && !HasExcessBytes();
  if (reusable) pool_.PutIdle(options_.target, std::move(upstream_));
  upstream_.reset();
}

void Exchange::FailOnReadError(error_code failure) {
  if (failure == beast::error::timeout) {
    pool_.CloseIdle(options_.target);
    Fail(AttemptOutcome::kSilent, "the target gave no answer in time");
    return;
  }
  Fail(AttemptOutcome::kBroken, "the answer broke off: " + failure.message());
}

void Exchange::Fail(AttemptOutcome outcome, std::string detail) {
  result_.outcome = outcome;
  result_.detail = std::move(detail);
  if (!upstream_) return;
  // Resets the connection, so that bytes in the kernel's send buffer don't
  // reach the target later.
  error_code ignored;
  upstream_->stream.socket().set_option(asio::socket_base::linger(true, 0),
                                        ignored);
  upstream_.reset();
}

}  // namespace basilspur::front
