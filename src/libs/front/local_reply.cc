#include "front/local_reply.h"

#include <nlohmann/json.hpp>

namespace basilspur::front {

static const char* NameOf(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kNotRun:
      return "not-run";
    case RunOutcome::kMayHaveRun:
      return "may-have-run";
    case RunOutcome::kRan:
      return "ran";
  }
  return "may-have-run";
}

http::response<http::string_body> ToHttpResponse(
    const LocalReply& reply, const std::string& request_id) {
  http::response<http::string_body> message(reply.status, 11);
  nlohmann::json body = {{"outcome", NameOf(reply.outcome)},
                         {"reason", reply.reason},
                         {"request_id", request_id}};
  message.set("Basilspur-Outcome", NameOf(reply.outcome));
  message.set("X-Request-Id", request_id);
  message.set(http::field::content_type, "application/json");
  if (reply.retry_after) {
    constexpr std::int64_t kMillisPerSecond = 1'000;
    const std::int64_t millis = reply.retry_after->count;
    const std::int64_t seconds =
        (millis + kMillisPerSecond - 1) / kMillisPerSecond;
    message.set(http::field::retry_after, std::to_string(seconds));
    message.set("Basilspur-Retry-After-Ms", std::to_string(millis));
    body["retry_after_ms"] = millis;
  }
  message.body() =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  message.prepare_payload();
  return message;
}

}  // namespace basilspur::front
