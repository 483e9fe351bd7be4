#include "front/caller_session.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"

namespace basilspur::front {

using resend::RequestVerdict;
using routing::AttemptOutcome;

static constexpr LogCategory kLog("front");
static constexpr Millis kIdleTimeout(60'000);
static constexpr int kMaxAttempts = 4;
static constexpr Millis kMaxIdleTimeIdempotent(15'000);
/// A request that must not be sent twice is sent only over a connection that
/// was in use moments ago.
static constexpr Millis kMaxIdleTimeNonIdempotent(500);
static constexpr Millis kPeerQueryTimeout(1'000);
static constexpr Millis kRetryAfterNotAdmitted(1'000);
static constexpr Millis kRetryAfterFailure(200);

CallerSession::CallerSession(asio::ip::tcp::socket socket,
                             SessionContext& context)
    : context_(context), caller_(std::move(socket), context.limits) {}

asio::awaitable<void> CallerSession::Run() {
  ConnectionAction action = ConnectionAction::kContinue;
  while (action == ConnectionAction::kContinue) action = co_await ServeNext();
  caller_.Close(action == ConnectionAction::kAbort);
}

asio::awaitable<CallerSession::ConnectionAction> CallerSession::ServeNext() {
  request_ = {};
  const error_code failure = co_await caller_.ReadHeader(kIdleTimeout);
  if (failure) {
    const ConnectionAction action = co_await RejectUnreadRequest(failure);
    co_return action;
  }
  arrived_at_ = context_.clock.Monotonic();
  Result<CallerRequest> parsed = ParseCallerRequest(caller_.Header());
  if (!IsOk(parsed)) {
    const LocalReply reply{http::status::bad_request, RunOutcome::kNotRun,
                           ErrorOf(parsed).ToString(), std::nullopt};
    const ConnectionAction action = co_await SendReply(reply);
    co_return action;
  }
  request_ = std::move(ValueOf(parsed));
  if (request_.id.empty()) {
    request_.id = context_.request_id_prefix +
                  std::to_string(++context_.last_request_number);
  }
  const ConnectionAction action = co_await ServeRequest();
  co_return action;
}

/// Replies to a request whose header or body could not be read. A caller that
/// closed the connection or sent nothing gets no reply.
asio::awaitable<CallerSession::ConnectionAction>
CallerSession::RejectUnreadRequest(error_code failure) {
  LocalReply reply{http::status::bad_request, RunOutcome::kNotRun,
                   "malformed request: " + failure.message(), std::nullopt};
  if (caller_.IsIdle() || failure == http::error::end_of_stream) {
    co_return ConnectionAction::kClose;
  }
  if (failure == beast::error::timeout) {
    reply.status = http::status::request_timeout;
    reply.reason = "the request came too slowly";
  } else if (failure == http::error::header_limit) {
    reply.status = http::status::request_header_fields_too_large;
  } else if (failure == http::error::body_limit) {
    reply.status = http::status::payload_too_large;
  } else if (failure.category() !=
             make_error_code(http::error::bad_method).category()) {
    co_return ConnectionAction::kClose;
  }
  context_.metrics
      .Counter("basilspur_requests_rejected_total",
               {{"status", std::to_string(static_cast<int>(reply.status))}})
      .fetch_add(1);
  const ConnectionAction action = co_await SendReply(reply);
  co_return action == ConnectionAction::kAbort ? action
                                               : ConnectionAction::kClose;
}

asio::awaitable<CallerSession::ConnectionAction> CallerSession::ServeRequest() {
  route_ = context_.router.FindRoute(request_.service);
  if (route_ == nullptr) {
    const LocalReply reply{http::status::not_found, RunOutcome::kNotRun,
                           "no service is named " + request_.service,
                           std::nullopt};
    const ConnectionAction action = co_await SendReply(reply);
    co_return action;
  }
  deadline_ = arrived_at_ + request_.timeout.value_or(route_->timeout);
  const error_code failure = co_await caller_.BufferBody();
  if (failure) {
    const ConnectionAction action = co_await RejectUnreadRequest(failure);
    co_return action;
  }
  const bool at_most_once =
      !request_.idempotent && !request_.idempotency_key.empty();
  ConnectionAction action = ConnectionAction::kClose;
  if (at_most_once) {
    action = co_await ServeAtMostOnce();
  } else {
    action = co_await RunAttempts();
  }
  const Millis duration = context_.clock.Monotonic() - arrived_at_;
  context_.metrics
      .DurationHistogram("basilspur_request_seconds",
                         {{"service", request_.service},
                          {"class", std::to_string(request_.urgency)},
                          {"tenant", request_.tenant}})
      .Observe(static_cast<double>(duration.count));
  co_return action;
}

static std::optional<LocalReply> ReplyForVerdict(RequestVerdict verdict) {
  switch (verdict) {
    case RequestVerdict::kRun:
    case RequestVerdict::kQueryPeers:
      return std::nullopt;
    case RequestVerdict::kNotReady:
      return LocalReply{
          http::status::service_unavailable, RunOutcome::kNotRun,
          "this entry has just started and takes no requests with a "
          "key yet",
          kRetryAfterNotAdmitted};
    case RequestVerdict::kTableFull:
      return LocalReply{http::status::service_unavailable, RunOutcome::kNotRun,
                        "too many requests with a key are remembered",
                        kRetryAfterNotAdmitted};
    case RequestVerdict::kRunning:
      return LocalReply{http::status::conflict, RunOutcome::kMayHaveRun,
                        "another sending of the request is being handled",
                        kRetryAfterNotAdmitted};
    case RequestVerdict::kAnswered:
      return LocalReply{http::status::conflict, RunOutcome::kRan,
                        "the request ran before", std::nullopt};
    case RequestVerdict::kSuperseded:
      return LocalReply{http::status::conflict, RunOutcome::kMayHaveRun,
                        "a later sending of the request took its place",
                        kRetryAfterNotAdmitted};
    case RequestVerdict::kUnknown:
      break;
  }
  return LocalReply{http::status::gateway_timeout, RunOutcome::kMayHaveRun,
                    "not every entry that may have run the request can say so",
                    kRetryAfterNotAdmitted};
}

asio::awaitable<RequestVerdict> CallerSession::QueryAtMostOnceGate() {
  if (request_.first_send) {
    co_return context_.gate.BeginFirst(request_.idempotency_key);
  }
  struct PendingVerdict {
    explicit PendingVerdict(asio::io_context& io) : wakeup(io) {}
    asio::steady_timer wakeup;
    std::optional<RequestVerdict> verdict;
  };
  const auto pending = std::make_shared<PendingVerdict>(context_.io);
  pending->wakeup.expires_at(asio::steady_timer::time_point::max());
  const Millis timeout =
      std::min(kPeerQueryTimeout, deadline_ - context_.clock.Monotonic());
  asio::io_context& io = context_.io;
  context_.gate.BeginResend(request_.idempotency_key, request_.age, timeout,
                            [pending, &io](RequestVerdict verdict) {
                              asio::post(io, [pending, verdict] {
                                pending->verdict = verdict;
                                pending->wakeup.cancel();
                              });
                            });
  while (!pending->verdict) {
    error_code ignored;
    co_await pending->wakeup.async_wait(RedirectError(ignored));
  }
  co_return *pending->verdict;
}

asio::awaitable<CallerSession::ConnectionAction>
CallerSession::ServeAtMostOnce() {
  const RequestVerdict verdict = co_await QueryAtMostOnceGate();
  const std::optional<LocalReply> refusal = ReplyForVerdict(verdict);
  if (refusal) {
    const ConnectionAction action = co_await SendReply(*refusal);
    co_return action;
  }
  const ConnectionAction action = co_await RunAttempts();
  context_.gate.Finish(request_.idempotency_key, !certainly_not_run_);
  co_return action;
}

asio::awaitable<CallerSession::ConnectionAction> CallerSession::RunAttempts() {
  certainly_not_run_ = true;
  std::string avoided_target;
  for (int attempt = 1;; ++attempt) {
    routing::Request routing_request;
    routing_request.urgency = request_.urgency;
    routing_request.arrived = arrived_at_;
    routing_request.deadline = deadline_;
    routing_request.avoided_target = avoided_target;
    const routing::Decision decision =
        co_await context_.router.Acquire(request_.service, routing_request);
    if (const auto* refusal = std::get_if<routing::Refusal>(&decision)) {
      context_.metrics
          .Counter("basilspur_requests_refused_total",
                   {{"service", request_.service},
                    {"reason", routing::NameOf(refusal->reason)}})
          .fetch_add(1);
      const LocalReply reply{
          http::status::service_unavailable,
          certainly_not_run_ ? RunOutcome::kNotRun : RunOutcome::kMayHaveRun,
          routing::NameOf(refusal->reason), refusal->retry_after};
      const ConnectionAction action = co_await SendReply(reply);
      co_return action;
    }
    const std::string target = std::get<routing::Grant>(decision).target;
    const Millis granted_at = context_.clock.Monotonic();
    AttemptOptions options;
    options.target = target;
    options.deadline = deadline_;
    options.max_idle_time = request_.idempotent ? kMaxIdleTimeIdempotent
                                                : kMaxIdleTimeNonIdempotent;
    if (attempt > 1) options.max_idle_time = {};
    options.request_id = request_.id;
    // The last attempt may take all the time that remains until the deadline.
    if (request_.idempotent && attempt < kMaxAttempts) {
      options.attempt_timeout =
          context_.router.AttemptTimeout(request_.service) * attempt;
    }
    options.may_abandon = [this] {
      return context_.router.TryTakeRetry(request_.service);
    };
    options.close_caller = context_.stopping || !caller_.Header().keep_alive();
    Exchange exchange(caller_, context_.pool, context_.clock, options);
    const AttemptResult result = co_await exchange.Run();
    const Millis duration = context_.clock.Monotonic() - granted_at;
    context_.router.Release(request_.service, target, result.outcome, duration);
    RecordAttempt(result, target, duration);
    const bool attempt_not_run =
        !result.possibly_sent || result.outcome == AttemptOutcome::kRefused;
    if (!attempt_not_run) certainly_not_run_ = false;
    if (result.caller_failed) co_return ConnectionAction::kAbort;
    if (result.outcome == AttemptOutcome::kAnswered) {
      co_return result.keep_caller_connection ? ConnectionAction::kContinue
                                              : ConnectionAction::kClose;
    }
    if (result.response_started) co_return ConnectionAction::kAbort;
    // An abandoned attempt has already consumed its retry of the budget.
    const bool will_retry =
        result.abandoned || (attempt < kMaxAttempts && MayRetry(result) &&
                             context_.router.TryTakeRetry(request_.service));
    if (will_retry) {
      avoided_target = target;
      continue;
    }
    const ConnectionAction action =
        co_await SendReply(*ReplyAfterAttempt(result));
    co_return action;
  }
}

/// A request that may have reached a target is retried only if it is
/// idempotent. A request that certainly did not run may always be retried.
bool CallerSession::MayRetry(const AttemptResult& attempt) const {
  if (attempt.body_consumed) return false;
  if (context_.clock.Monotonic() >= deadline_) return false;
  if (!attempt.possibly_sent) return true;
  if (attempt.outcome == AttemptOutcome::kRefused) return true;
  return request_.idempotent;
}

std::optional<LocalReply> CallerSession::ReplyAfterAttempt(
    const AttemptResult& attempt) const {
  const RunOutcome outcome =
      certainly_not_run_ ? RunOutcome::kNotRun : RunOutcome::kMayHaveRun;
  http::status status = http::status::bad_gateway;
  if (attempt.outcome == AttemptOutcome::kSilent) {
    status = http::status::gateway_timeout;
  } else if (certainly_not_run_) {
    status = http::status::service_unavailable;
  }
  return LocalReply{status, outcome, attempt.detail, kRetryAfterFailure};
}

void CallerSession::RecordAttempt(const AttemptResult& attempt,
                                  const std::string& target, Millis duration) {
  static constexpr const char* kOutcomeNames[] = {
      "answered", "refused", "not-connected", "broken", "silent"};
  const char* outcome_name =
      kOutcomeNames[static_cast<std::size_t>(attempt.outcome)];
  context_.metrics
      .Counter("basilspur_attempts_total",
               {{"service", request_.service}, {"outcome", outcome_name}})
      .fetch_add(1);
  context_.metrics
      .DurationHistogram("basilspur_target_seconds",
                         {{"service", request_.service}, {"target", target}})
      .Observe(static_cast<double>(duration.count));
  if (attempt.outcome == AttemptOutcome::kAnswered) return;
  kLog.Info("Attempt of request " + request_.id + " at target " + target +
            " failed with outcome " + outcome_name + ": " + attempt.detail +
            ".");
}

asio::awaitable<CallerSession::ConnectionAction> CallerSession::SendReply(
    LocalReply reply) {
  http::response<http::string_body> message =
      ToHttpResponse(reply, request_.id);
  const bool keep_alive = caller_.IsBodyComplete() && !context_.stopping &&
                          caller_.Header().keep_alive();
  message.keep_alive(keep_alive);
  if (caller_.Header().method() == http::verb::head) message.body().clear();
  error_code failure;
  caller_.Stream().expires_after(std::chrono::milliseconds(kIdleTimeout.count));
  co_await http::async_write(caller_.Stream(), message, RedirectError(failure));
  if (failure) co_return ConnectionAction::kAbort;
  co_return keep_alive ? ConnectionAction::kContinue : ConnectionAction::kClose;
}

}  // namespace basilspur::front
