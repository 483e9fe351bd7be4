#ifndef BASILSPUR_FRONT_REQUEST_ROUTER_H_
#define BASILSPUR_FRONT_REQUEST_ROUTER_H_

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

/// Routes the requests of all services, with one ServiceRouter for each, and
/// resumes waiting requests once they are decided.
///
/// Thread safety: only the front's thread.
class RequestRouter {
 public:
  /// Precondition: `context` and `clock` outlive the router.
  RequestRouter(asio::io_context& context, const Clock& clock,
                std::string picker_name, std::uint64_t seed);

  void SetRoutes(const RouteTable& routes);

  /// The route of a service; null if there is no such service.
  const ServiceRoute* FindRoute(const std::string& service) const;

  /// Waits until the request gets a slot or is refused. Precondition:
  /// FindRoute(service) is not null.
  asio::awaitable<routing::Decision> Acquire(std::string service,
                                             routing::Request request);

  /// Returns the slot of a request whose attempt has ended. `latency` is the
  /// time from the grant to the end of the attempt.
  void Release(const std::string& service, const std::string& target,
               routing::AttemptOutcome outcome, Millis latency);

  /// Consumes a retry of the service's budget; false if none is left.
  bool TryTakeRetry(const std::string& service);

  /// See ServiceRouter::AttemptTimeout().
  Millis AttemptTimeout(const std::string& service);

  /// Refuses requests that have waited too long, and ends loans whose time has
  /// passed. Has to be called every few milliseconds.
  void Sweep();

  /// The free slots and queue lengths of all services.
  std::vector<link::ServiceLoad> Loads() const;
  /// Lends up to `wanted` free slots for `duration`.
  std::vector<routing::Loan> Lend(const std::string& service,
                                  std::int64_t wanted, Millis duration);
  /// Uses borrowed slots for `duration`.
  void Borrow(const std::string& service, std::vector<routing::Loan> loans,
              Millis duration);

  /// True while requests wait for a slot.
  bool HasWaiters() const { return !waiters_.empty(); }

 private:
  struct Waiter;
  /// Slots that were lent to a peer or borrowed from one with one message.
  struct ActiveLoans {
    std::string service;
    std::vector<routing::Loan> loans;
    Millis ends_at;
    bool lent = false;
  };

  void DeliverDecisions(routing::ServiceRouter& router);
  routing::ServiceRouter* FindRouter(const std::string& service);

  asio::io_context& context_;
  const Clock& clock_;
  const std::string picker_name_;
  Random random_;
  RouteTable routes_;
  std::map<std::string, std::unique_ptr<routing::ServiceRouter>> routers_;
  std::map<routing::Ticket, Waiter*> waiters_;
  std::vector<ActiveLoans> loans_;
  routing::Ticket last_ticket_ = 0;
};

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_REQUEST_ROUTER_H_
