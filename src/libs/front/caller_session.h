#ifndef BASILSPUR_FRONT_CALLER_SESSION_H_
#define BASILSPUR_FRONT_CALLER_SESSION_H_

#include <memory>
#include <optional>
#include <string>

#include "front/caller_request.h"
#include "front/caller_stream.h"
#include "front/exchange.h"
#include "front/local_reply.h"
#include "front/session_context.h"

namespace basilspur::front {

/// Serves the requests on one caller connection, one after another.
///
/// Thread safety: only the front's thread.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  /// Precondition: `context` outlives the session.
  CallerSession(asio::ip::tcp::socket socket, SessionContext& context);

  /// Serves requests until the connection is closed.
  asio::awaitable<void> Run();

  /// True while no request is being read or answered.
  bool IsIdle() const { return caller_.IsIdle(); }
  void CloseIdle() { caller_.Close(/*abort=*/false); }

 private:
  /// What to do with the connection after a request.
  enum class ConnectionAction { kContinue, kClose, kAbort };

  asio::awaitable<ConnectionAction> ServeNext();
  asio::awaitable<ConnectionAction> RejectUnreadRequest(error_code failure);
  asio::awaitable<ConnectionAction> ServeRequest();
  asio::awaitable<ConnectionAction> ServeAtMostOnce();
  asio::awaitable<resend::RequestVerdict> QueryAtMostOnceGate();
  asio::awaitable<ConnectionAction> RunAttempts();
  std::optional<LocalReply> ReplyAfterAttempt(
      const AttemptResult& attempt) const;
  bool MayRetry(const AttemptResult& attempt) const;
  asio::awaitable<ConnectionAction> SendReply(LocalReply reply);
  void RecordAttempt(const AttemptResult& attempt, const std::string& target,
                     Millis duration);

  SessionContext& context_;
  CallerStream caller_;
  CallerRequest request_;
  const ServiceRoute* route_ = nullptr;
  Millis arrived_at_;
  Millis deadline_;
  /// False once some attempt may have run the request on its target.
  bool certainly_not_run_ = true;
};

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_CALLER_SESSION_H_
