#ifndef BASILSPUR_FRONT_CALLER_SESSION_H_
#define BASILSPUR_FRONT_CALLER_SESSION_H_

#include <memory>
#include <optional>
#include <string>

#include "front/answer.h"
#include "front/caller_request.h"
#include "front/caller_stream.h"
#include "front/exchange.h"
#include "front/session_context.h"

namespace basilspur::front {

/// Serves the requests of one caller's connection, one after the other.
///
/// Thread safety: only the front's thread.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  /// Precondition: `context` outlives the session.
  CallerSession(asio::ip::tcp::socket socket, SessionContext& context);

  /// Serves until the connection ends.
  asio::awaitable<void> Run();

  /// True while no request is being read or answered.
  bool IsIdle() const { return caller_.IsIdle(); }
  void CloseIdle() { caller_.Close(/*abort=*/false); }

 private:
  enum class Next { kContinue, kClose, kAbort };

  asio::awaitable<Next> ServeOne();
  asio::awaitable<Next> RejectUnread(error_code failure);
  asio::awaitable<Next> Serve();
  asio::awaitable<Next> ServeOnce();
  asio::awaitable<resend::RequestVerdict> AskGate();
  asio::awaitable<Next> RunAttempts();
  std::optional<Answer> AnswerAfter(const AttemptResult& attempt) const;
  bool MayRetry(const AttemptResult& attempt) const;
  asio::awaitable<Next> Give(Answer answer);
  void CountAttempt(const AttemptResult& attempt, const std::string& target,
                    Millis took);

  SessionContext& context_;
  CallerStream caller_;
  CallerRequest request_;
  const ServiceRoute* route_ = nullptr;
  Millis began_;
  Millis deadline_;
  bool certainly_not_run_ = true;
};

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_CALLER_SESSION_H_
