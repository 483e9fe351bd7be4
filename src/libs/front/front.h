#ifndef BASILSPUR_FRONT_FRONT_H_
#define BASILSPUR_FRONT_FRONT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "front/route_table.h"
#include "link/messages.h"
#include "metrics/registry.h"
#include "resend/at_most_once_gate.h"

namespace basilspur::front {

/// Settings of a front.
struct FrontOptions {
  std::string address;  ///< IP:PORT on which callers connect.
  std::string picker = "least-expected-delay";
  /// Prefix of the ids of requests that arrive without an id.
  std::string request_id_prefix;
  std::int64_t max_header_bytes = 0;  ///< Maximum size of a request header.
  std::int64_t max_body_bytes = 0;    ///< Maximum size of a request body.
  /// Maximum time from the first byte of a request to the end of its header.
  Millis header_timeout;
  /// Maximum time to wait for more bytes of a request body.
  Millis body_idle_timeout;
  std::int64_t max_connections = 0;  ///< Maximum number of caller connections.
  std::uint64_t seed = 0;            ///< Seed of random decisions in routing.
};

/// Accepts HTTP requests from callers and relays them to targets, on a thread
/// of its own.
///
/// Thread safety: any thread.
class Front {
 public:
  using Send = std::function<bool(const std::string& peer,
                                  const link::Message& message)>;

  /// `send` sends a message to a peer; it is used to lend and borrow slots.
  /// Precondition: `clock`, `gate` and `metrics` outlive the front.
  Front(FrontOptions options, const Clock& clock, resend::AtMostOnceGate& gate,
        metrics::Registry& metrics, Send send);
  ~Front();

  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  /// Listens on the address and starts the thread.
  Status Start();

  /// Replaces the routes; the new ones are in effect when the call returns.
  /// Precondition: started.
  void SetRoutes(std::shared_ptr<const RouteTable> routes);

  /// Replaces the list of peers that slots are lent to and borrowed from.
  void SetPeers(std::vector<std::string> peers);

  /// Handles LoadReport, SlotRequest and SlotLoan; ignores all other messages.
  void OnMessage(const std::string& peer, const link::Message& message);

  /// Stops without interrupting requests. For `grace_period` ms every response
  /// closes its connection. Then the front stops listening, closes idle
  /// connections, and waits up to `max_duration` ms for the active requests.
  /// Returns the number of requests that are still active.
  std::int64_t Drain(Millis grace_period, Millis max_duration);

  /// Number of requests that are being read or answered.
  std::int64_t ActiveRequests() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_FRONT_H_
