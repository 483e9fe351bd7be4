#include "front/caller_session.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"

namespace basilspur::front {

using resend::RequestVerdict;
using routing::AttemptOutcome;

static constexpr LogCategory kLog("front");
static constexpr Millis kIdleLimit(60'000);
static constexpr int kMaxAttempts = 4;
static constexpr Millis kMaxIdleIdempotent(15'000);
/// A request that can't be sent twice goes only over a connection that has
/// worked a moment ago.
static constexpr Millis kMaxIdleOnce(500);
static constexpr Millis kAskPeersLimit(1'000);
static constexpr Millis kRetryAfterUndecided(1'000);
static constexpr Millis kRetryAfterFailure(200);

CallerSession::CallerSession(asio::ip::tcp::socket socket,
                             SessionContext& context)
    : context_(context), caller_(std::move(socket), context.limits) {}

asio::awaitable<void> CallerSession::Run() {
  Next next = Next::kContinue;
  while (next == Next::kContinue) next = co_await ServeOne();
  caller_.Close(next == Next::kAbort);
}

asio::awaitable<CallerSession::Next> CallerSession::ServeOne() {
  request_ = {};
  const error_code failure = co_await caller_.ReadHeader(kIdleLimit);
  if (failure) {
    const Next next = co_await RejectUnread(failure);
    co_return next;
  }
  began_ = context_.clock.Monotonic();
  Result<CallerRequest> parsed = ParseCallerRequest(caller_.Header());
  if (!IsOk(parsed)) {
    const Answer answer{http::status::bad_request, RunOutcome::kNotRun,
                        ErrorOf(parsed).ToString(), std::nullopt};
    const Next next = co_await Give(answer);
    co_return next;
  }
  request_ = std::move(ValueOf(parsed));
  if (request_.id.empty()) {
    request_.id = context_.id_prefix + std::to_string(++context_.last_id);
  }
  const Next next = co_await Serve();
  co_return next;
}

/// Answers a request whose header could not be read; a caller that closed the
/// connection or sent nothing gets no answer.
asio::awaitable<CallerSession::Next> CallerSession::RejectUnread(
    error_code failure) {
  Answer answer{http::status::bad_request, RunOutcome::kNotRun,
                "malformed request: " + failure.message(), std::nullopt};
  if (caller_.IsIdle() || failure == http::error::end_of_stream) {
    co_return Next::kClose;
  }
  if (failure == beast::error::timeout) {
    answer.status = http::status::request_timeout;
    answer.reason = "the request came too slowly";
  } else if (failure == http::error::header_limit) {
    answer.status = http::status::request_header_fields_too_large;
  } else if (failure == http::error::body_limit) {
    answer.status = http::status::payload_too_large;
  } else if (failure.category() !=
             make_error_code(http::error::bad_method).category()) {
    co_return Next::kClose;
  }
  context_.metrics
      .Counter("basilspur_requests_rejected_total",
               {{"status", std::to_string(static_cast<int>(answer.status))}})
      .fetch_add(1);
  const Next next = co_await Give(answer);
  co_return next == Next::kAbort ? next : Next::kClose;
}

asio::awaitable<CallerSession::Next> CallerSession::Serve() {
  route_ = context_.hub.Find(request_.service);
  if (route_ == nullptr) {
    const Answer answer{http::status::not_found, RunOutcome::kNotRun,
                        "no service is named " + request_.service,
                        std::nullopt};
    const Next next = co_await Give(answer);
    co_return next;
  }
  deadline_ = began_ + request_.timeout.value_or(route_->timeout);
  const error_code failure = co_await caller_.ReadHeldBody();
  if (failure) {
    const Next next = co_await RejectUnread(failure);
    co_return next;
  }
  const bool once = !request_.idempotent && !request_.once_id.empty();
  Next next = Next::kClose;
  if (once) {
    next = co_await ServeOnce();
  } else {
    next = co_await RunAttempts();
  }
  const Millis total = context_.clock.Monotonic() - began_;
  context_.metrics
      .DurationHistogram("basilspur_request_seconds",
                         {{"service", request_.service},
                          {"class", std::to_string(request_.urgency)},
                          {"tenant", request_.tenant}})
      .Observe(static_cast<double>(total.count));
  co_return next;
}

static std::optional<Answer> AnswerFor(RequestVerdict verdict) {
  switch (verdict) {
    case RequestVerdict::kRun:
    case RequestVerdict::kQueryPeers:
      return std::nullopt;
    case RequestVerdict::kNotReady:
      return Answer{http::status::service_unavailable, RunOutcome::kNotRun,
                    "this entry has just started and takes no requests with a "
                    "key yet",
                    kRetryAfterUndecided};
    case RequestVerdict::kTableFull:
      return Answer{http::status::service_unavailable, RunOutcome::kNotRun,
                    "too many requests with a key are remembered",
                    kRetryAfterUndecided};
    case RequestVerdict::kRunning:
      return Answer{http::status::conflict, RunOutcome::kMayHaveRun,
                    "another sending of the request is being handled",
                    kRetryAfterUndecided};
    case RequestVerdict::kAnswered:
      return Answer{http::status::conflict, RunOutcome::kRan,
                    "the request ran before", std::nullopt};
    case RequestVerdict::kSuperseded:
      return Answer{http::status::conflict, RunOutcome::kMayHaveRun,
                    "a later sending of the request took its place",
                    kRetryAfterUndecided};
    case RequestVerdict::kUnknown:
      break;
  }
  return Answer{http::status::gateway_timeout, RunOutcome::kMayHaveRun,
                "not every entry that may have run the request can say so",
                kRetryAfterUndecided};
}

asio::awaitable<RequestVerdict> CallerSession::AskGate() {
  if (request_.first_sending) {
    co_return context_.gate.BeginFirst(request_.once_id);
  }
  struct Waiting {
    explicit Waiting(asio::io_context& io) : wakeup(io) {}
    asio::steady_timer wakeup;
    std::optional<RequestVerdict> verdict;
  };
  const auto waiting = std::make_shared<Waiting>(context_.io);
  waiting->wakeup.expires_at(asio::steady_timer::time_point::max());
  const Millis wait =
      std::min(kAskPeersLimit, deadline_ - context_.clock.Monotonic());
  asio::io_context& io = context_.io;
  context_.gate.BeginResend(request_.once_id, request_.age, wait,
                            [waiting, &io](RequestVerdict verdict) {
                              asio::post(io, [waiting, verdict] {
                                waiting->verdict = verdict;
                                waiting->wakeup.cancel();
                              });
                            });
  while (!waiting->verdict) {
    error_code ignored;
    co_await waiting->wakeup.async_wait(WithError(ignored));
  }
  co_return *waiting->verdict;
}

asio::awaitable<CallerSession::Next> CallerSession::ServeOnce() {
  const RequestVerdict verdict = co_await AskGate();
  const std::optional<Answer> refusal = AnswerFor(verdict);
  if (refusal) {
    const Next next = co_await Give(*refusal);
    co_return next;
  }
  const Next next = co_await RunAttempts();
  context_.gate.Finish(request_.once_id, !certainly_not_run_);
  co_return next;
}

asio::awaitable<CallerSession::Next> CallerSession::RunAttempts() {
  certainly_not_run_ = true;
  std::string avoided_target;
  for (int attempt = 1;; ++attempt) {
    routing::Request wanted;
    wanted.urgency = request_.urgency;
    wanted.arrived = began_;
    wanted.deadline = deadline_;
    wanted.avoided_target = avoided_target;
    const routing::Decision decision =
        co_await context_.hub.Acquire(request_.service, wanted);
    if (const auto* refusal = std::get_if<routing::Refusal>(&decision)) {
      context_.metrics
          .Counter("basilspur_requests_refused_total",
                   {{"service", request_.service},
                    {"reason", routing::NameOf(refusal->reason)}})
          .fetch_add(1);
      const Answer answer{
          http::status::service_unavailable,
          certainly_not_run_ ? RunOutcome::kNotRun : RunOutcome::kMayHaveRun,
          routing::NameOf(refusal->reason), refusal->retry_after};
      const Next next = co_await Give(answer);
      co_return next;
    }
    const std::string target = std::get<routing::Grant>(decision).target;
    const Millis granted = context_.clock.Monotonic();
    AttemptOptions options;
    options.target = target;
    options.deadline = deadline_;
    options.max_idle = request_.idempotent ? kMaxIdleIdempotent : kMaxIdleOnce;
    if (attempt > 1) options.max_idle = {};
    options.request_id = request_.id;
    // The last attempt has all the time that is left.
    if (request_.idempotent && attempt < kMaxAttempts) {
      options.patience =
          context_.hub.AttemptTimeout(request_.service) * attempt;
    }
    options.may_abandon = [this] {
      return context_.hub.TryTakeRetry(request_.service);
    };
    options.close_caller = context_.stopping || !caller_.Header().keep_alive();
    Exchange exchange(caller_, context_.pool, context_.clock, options);
    const AttemptResult result = co_await exchange.Run();
    const Millis took = context_.clock.Monotonic() - granted;
    context_.hub.Release(request_.service, target, result.outcome, took);
    CountAttempt(result, target, took);
    const bool surely_not_run =
        !result.sent_any || result.outcome == AttemptOutcome::kRefused;
    if (!surely_not_run) certainly_not_run_ = false;
    if (result.caller_failed) co_return Next::kAbort;
    if (result.outcome == AttemptOutcome::kAnswered) {
      co_return result.keep_caller ? Next::kContinue : Next::kClose;
    }
    if (result.caller_began) co_return Next::kAbort;
    // An abandoned attempt has taken its retry already.
    const bool has_retry =
        result.abandoned || (attempt < kMaxAttempts && MayRetry(result) &&
                             context_.hub.TryTakeRetry(request_.service));
    if (has_retry) {
      avoided_target = target;
      continue;
    }
    const Next next = co_await Give(*AnswerAfter(result));
    co_return next;
  }
}

/// A request that may have reached a target is sent again only if it is
/// idempotent; one that certainly did not run always may be.
bool CallerSession::MayRetry(const AttemptResult& attempt) const {
  if (attempt.body_consumed) return false;
  if (context_.clock.Monotonic() >= deadline_) return false;
  if (!attempt.sent_any) return true;
  if (attempt.outcome == AttemptOutcome::kRefused) return true;
  return request_.idempotent;
}

std::optional<Answer> CallerSession::AnswerAfter(
    const AttemptResult& attempt) const {
  const RunOutcome outcome =
      certainly_not_run_ ? RunOutcome::kNotRun : RunOutcome::kMayHaveRun;
  http::status status = http::status::bad_gateway;
  if (attempt.outcome == AttemptOutcome::kSilent) {
    status = http::status::gateway_timeout;
  } else if (certainly_not_run_) {
    status = http::status::service_unavailable;
  }
  return Answer{status, outcome, attempt.detail, kRetryAfterFailure};
}

void CallerSession::CountAttempt(const AttemptResult& attempt,
                                 const std::string& target, Millis took) {
  static constexpr const char* kNames[] = {"answered", "refused",
                                           "not-connected", "broken", "silent"};
  const char* name = kNames[static_cast<std::size_t>(attempt.outcome)];
  context_.metrics
      .Counter("basilspur_attempts_total",
               {{"service", request_.service}, {"outcome", name}})
      .fetch_add(1);
  context_.metrics
      .DurationHistogram("basilspur_target_seconds",
                         {{"service", request_.service}, {"target", target}})
      .Observe(static_cast<double>(took.count));
  if (attempt.outcome == AttemptOutcome::kAnswered) return;
  kLog.Info("Attempt of request " + request_.id + " at " + target + " ended " +
            name + ". " + attempt.detail + ".");
}

asio::awaitable<CallerSession::Next> CallerSession::Give(Answer answer) {
  http::response<http::string_body> message = ToMessage(answer, request_.id);
  const bool readable = caller_.BodyIsWhole() && !context_.stopping &&
                        caller_.Header().keep_alive();
  message.keep_alive(readable);
  if (caller_.Header().method() == http::verb::head) message.body().clear();
  error_code failure;
  caller_.Stream().expires_after(std::chrono::milliseconds(kIdleLimit.count));
  co_await http::async_write(caller_.Stream(), message, WithError(failure));
  if (failure) co_return Next::kAbort;
  co_return readable ? Next::kContinue : Next::kClose;
}

}  // namespace basilspur::front
