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
#include "resend/once_gate.h"

namespace basilspur::front {

/// Settings of a front. Sizes in bytes.
struct FrontOptions {
  std::string address;
  std::string picker = "least-expected-delay";
  std::string id_prefix;
  std::int64_t max_header_bytes = 0;
  std::int64_t max_body_bytes = 0;
  Millis header_timeout;
  Millis body_idle_timeout;
  std::int64_t max_connections = 0;
  std::uint64_t seed = 0;
};

/// Takes callers' HTTP requests and has targets answer them, on a thread of
/// its own.
///
/// Thread safety: any thread.
class Front {
 public:
  using Send = std::function<bool(const std::string& peer,
                                  const link::Message& message)>;

  /// Precondition: `clock`, `gate` and `metrics` outlive the front. `send`
  /// reaches peers, for loans of slots.
  Front(FrontOptions options, const Clock& clock, resend::OnceGate& gate,
        metrics::Registry& metrics, Send send);
  ~Front();

  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  /// Binds the address and starts the thread.
  Status Start();

  /// Takes new routes into use; they are in use once it returns.
  /// Precondition: started.
  void SetRoutes(std::shared_ptr<const RouteTable> routes);

  /// The peers that may lend or borrow.
  void SetPeers(std::vector<std::string> peers);

  /// Takes in LoadReport, SlotRequest and SlotLoan; others are ignored.
  void OnMessage(const std::string& peer, const link::Message& message);

  /// Stops without cutting a request: answers close their connections for
  /// `grace` ms, then idle connections are closed and the rest is served to
  /// its end, up to `limit` ms. Returns the number of requests cut.
  std::int64_t Drain(Millis grace, Millis limit);

  /// Requests being read or answered.
  std::int64_t ActiveRequests() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_FRONT_H_
