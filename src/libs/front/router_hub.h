#ifndef BASILSPUR_FRONT_ROUTER_HUB_H_
#define BASILSPUR_FRONT_ROUTER_HUB_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "front/beast.h"
#include "front/route_table.h"
#include "link/messages.h"
#include "routing/service_router.h"

namespace basilspur::front {

/// Holds the routers of all services and wakes the requests that wait.
///
/// Thread safety: only the front's thread.
class RouterHub {
 public:
  /// Precondition: `context` and `clock` outlive the hub.
  RouterHub(asio::io_context& context, const Clock& clock,
            std::string picker_name, std::uint64_t seed);

  void SetRoutes(const RouteTable& routes);

  /// The route of a service, or null.
  const ServiceRoute* Find(const std::string& service) const;

  /// Waits for a slot or a refusal. Precondition: Find(service).
  asio::awaitable<routing::Decision> Acquire(std::string service,
                                             routing::Request request);

  void Release(const std::string& service, const std::string& target,
               routing::AttemptOutcome outcome, Millis latency);

  bool TryTakeRetry(const std::string& service);

  /// See ServiceRouter::Patience().
  Millis AttemptTimeout(const std::string& service);

  /// Wakes requests that waited too long, and returns what is over of loans.
  /// Call every few milliseconds.
  void Sweep();

  /// Free slots and queues of all services.
  std::vector<link::ServiceLoad> Loads() const;
  std::vector<routing::Loan> Lend(const std::string& service,
                                  std::int64_t wanted, Millis duration);
  void Borrow(const std::string& service, std::vector<routing::Loan> loans,
              Millis duration);

  /// True while some request waits for a slot.
  bool HasWaiting() const { return !waiters_.empty(); }

 private:
  struct Waiter;
  struct RunningLoan {
    std::string service;
    std::vector<routing::Loan> loans;
    Millis ends;
    bool lent = false;
  };

  void Dispatch(routing::ServiceRouter& router);
  routing::ServiceRouter* RouterOf(const std::string& service);

  asio::io_context& context_;
  const Clock& clock_;
  const std::string picker_name_;
  Random random_;
  RouteTable routes_;
  std::map<std::string, std::unique_ptr<routing::ServiceRouter>> routers_;
  std::map<routing::Ticket, Waiter*> waiters_;
  std::vector<RunningLoan> loans_;
  routing::Ticket last_ticket_ = 0;
};

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_ROUTER_HUB_H_
