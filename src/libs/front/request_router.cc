#include "front/request_router.h"

#include <optional>
#include <utility>

namespace basilspur::front {

using routing::Decision;
using routing::Grant;
using routing::Refusal;
using routing::ServiceRouter;

/// A request that waits for a decision. It lives in the frame of its coroutine.
struct RequestRouter::Waiter {
  explicit Waiter(asio::io_context& context) : wakeup(context) {}

  asio::steady_timer wakeup;
  std::optional<Decision> decision;
};

RequestRouter::RequestRouter(asio::io_context& context, const Clock& clock,
                             std::string picker_name, std::uint64_t seed)
    : context_(context),
      clock_(clock),
      picker_name_(std::move(picker_name)),
      random_(seed) {}

void RequestRouter::SetRoutes(const RouteTable& routes) {
  routes_ = routes;
  for (const auto& [name, route] : routes_.services) {
    std::unique_ptr<ServiceRouter>& router = routers_[name];
    if (!router) {
      router = std::make_unique<ServiceRouter>(
          routing::MakeTargetPicker(picker_name_));
    }
    router->SetTargets(route.shares, route.queue_limit);
    DeliverDecisions(*router);
  }
  for (auto& [name, router] : routers_) {
    if (routes_.services.contains(name)) continue;
    router->SetTargets({}, 0);
    DeliverDecisions(*router);
  }
}

const ServiceRoute* RequestRouter::FindRoute(const std::string& service) const {
  const auto found = routes_.services.find(service);
  return found == routes_.services.end() ? nullptr : &found->second;
}

ServiceRouter* RequestRouter::FindRouter(const std::string& service) {
  const auto found = routers_.find(service);
  return found == routers_.end() ? nullptr : found->second.get();
}

asio::awaitable<Decision> RequestRouter::Acquire(std::string service,
                                                 routing::Request request) {
  ServiceRouter& router = *routers_.at(service);
  request.ticket = ++last_ticket_;
  const routing::Admission admission =
      router.Admit(request, clock_.Monotonic(), random_);
  if (const auto* grant = std::get_if<Grant>(&admission)) co_return *grant;
  if (const auto* refusal = std::get_if<Refusal>(&admission)) {
    co_return *refusal;
  }
  Waiter waiter(context_);
  waiter.wakeup.expires_at(asio::steady_timer::time_point::max());
  waiters_[request.ticket] = &waiter;
  DeliverDecisions(router);
  while (!waiter.decision) {
    error_code ignored;
    co_await waiter.wakeup.async_wait(RedirectError(ignored));
  }
  waiters_.erase(request.ticket);
  co_return *waiter.decision;
}

void RequestRouter::DeliverDecisions(ServiceRouter& router) {
  for (auto& decision : router.TakeDecisions(clock_.Monotonic(), random_)) {
    const routing::Ticket ticket =
        std::visit([](const auto& d) { return d.ticket; }, decision);
    const auto waiter = waiters_.find(ticket);
    if (waiter == waiters_.end()) continue;
    waiter->second->decision = std::move(decision);
    waiter->second->wakeup.cancel();
  }
}

void RequestRouter::Release(const std::string& service,
                            const std::string& target,
                            routing::AttemptOutcome outcome, Millis latency) {
  ServiceRouter* router = FindRouter(service);
  if (router == nullptr) return;
  router->Release(target, outcome, latency, clock_.Monotonic());
  DeliverDecisions(*router);
}

bool RequestRouter::TryTakeRetry(const std::string& service) {
  ServiceRouter* router = FindRouter(service);
  return router != nullptr && router->TryTakeRetry();
}

Millis RequestRouter::AttemptTimeout(const std::string& service) {
  const ServiceRouter* router = FindRouter(service);
  return router == nullptr ? Millis() : router->AttemptTimeout();
}

void RequestRouter::Sweep() {
  const Millis now = clock_.Monotonic();
  std::erase_if(loans_, [&](const ActiveLoans& loan) {
    if (loan.ends_at > now) return false;
    ServiceRouter* router = FindRouter(loan.service);
    if (router != nullptr) router->EndLoans(loan.loans, loan.lent);
    return true;
  });
  for (auto& [name, router] : routers_) DeliverDecisions(*router);
}

std::vector<link::ServiceLoad> RequestRouter::Loads() const {
  std::vector<link::ServiceLoad> loads;
  const Millis now = clock_.Monotonic();
  for (const auto& [name, router] : routers_) {
    loads.push_back({name, router->FreeSlots(now),
                     static_cast<std::int64_t>(router->QueueSize())});
  }
  return loads;
}

std::vector<routing::Loan> RequestRouter::Lend(const std::string& service,
                                               std::int64_t wanted,
                                               Millis duration) {
  ServiceRouter* router = FindRouter(service);
  if (router == nullptr) return {};
  const Millis now = clock_.Monotonic();
  std::vector<routing::Loan> loans = router->Lend(wanted, now);
  if (!loans.empty()) loans_.push_back({service, loans, now + duration, true});
  return loans;
}

void RequestRouter::Borrow(const std::string& service,
                           std::vector<routing::Loan> loans, Millis duration) {
  ServiceRouter* router = FindRouter(service);
  if (router == nullptr) return;
  router->Borrow(loans);
  loans_.push_back(
      {service, std::move(loans), clock_.Monotonic() + duration, false});
  DeliverDecisions(*router);
}

}  // namespace basilspur::front
