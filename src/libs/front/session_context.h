#ifndef BASILSPUR_FRONT_SESSION_CONTEXT_H_
#define BASILSPUR_FRONT_SESSION_CONTEXT_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "front/beast.h"
#include "front/caller_stream.h"
#include "front/request_router.h"
#include "front/upstream_pool.h"
#include "metrics/registry.h"
#include "resend/at_most_once_gate.h"

namespace basilspur::front {

/// The state that all sessions of a front share.
struct SessionContext {
  asio::io_context& io;
  const Clock& clock;
  RequestRouter& router;
  UpstreamPool& pool;
  resend::AtMostOnceGate& gate;
  metrics::Registry& metrics;
  CallerLimits limits;
  /// Prefix of the ids of requests that arrive without an id.
  std::string request_id_prefix;
  /// The front is draining: every response closes its connection.
  bool stopping = false;
  /// Number in the last request id that the front generated.
  std::uint64_t last_request_number = 0;
};

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_SESSION_CONTEXT_H_
