#ifndef BASILSPUR_FRONT_EXCHANGE_H_
#define BASILSPUR_FRONT_EXCHANGE_H_

#include <string>

#include "base/clock.h"
#include "front/attempt_options.h"
#include "front/attempt_result.h"
#include "front/beast.h"
#include "front/caller_stream.h"
#include "front/upstream_pool.h"

namespace basilspur::front {

/// Sends a caller's request to a target and relays the response to the caller.
/// The connection to the target is reused only if the response was read
/// completely and nothing followed it; otherwise it is closed.
///
/// Thread safety: only the front's thread.
class Exchange {
 public:
  /// Precondition: all arguments outlive the exchange.
  Exchange(CallerStream& caller, UpstreamPool& pool, const Clock& clock,
           const AttemptOptions& options);

  asio::awaitable<AttemptResult> Run();

 private:
  using ResponseParser = http::response_parser<http::buffer_body>;

  asio::awaitable<bool> Connect();
  asio::awaitable<error_code> SendBufferedRequest();
  asio::awaitable<error_code> SendStreamedRequest();
  http::request_header<http::fields> UpstreamRequestHeader() const;
  asio::awaitable<void> RelayResponse();
  asio::awaitable<error_code> ReadResponseHeader(ResponseParser& parser);
  asio::awaitable<error_code> ReadWholeBody(ResponseParser& parser,
                                            std::string& body);
  asio::awaitable<void> RelayBufferedResponse(ResponseParser& parser);
  asio::awaitable<void> RelayStreamedResponse(ResponseParser& parser);
  http::response_header<http::fields> CallerResponseHeader(
      const ResponseParser& parser) const;
  void Fail(routing::AttemptOutcome outcome, std::string detail);
  void FailOnReadError(error_code failure);
  void FinishAnsweredAttempt(const ResponseParser& parser);
  bool HasExcessBytes() const { return upstream_->buffer.size() > 0; }

  CallerStream& caller_;
  UpstreamPool& pool_;
  const Clock& clock_;
  const AttemptOptions& options_;
  UpstreamPtr upstream_;
  AttemptResult result_;
};

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_EXCHANGE_H_
