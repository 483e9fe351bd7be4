#include "front/front.h"

#include <atomic>
#include <future>
#include <list>
#include <thread>
#include <utility>

#include "base/logging.h"
#include "front/caller_session.h"
#include "front/slot_loan_manager.h"
#include "net/http_server.h"

namespace basilspur::front {

static constexpr LogCategory kLog("front");
/// Interval of sweeps while requests wait for a slot.
static constexpr Millis kSweepInterval(5);
/// Interval of sweeps while no request waits.
static constexpr Millis kIdleSweepInterval(20);
static constexpr int kSweepsPerPoolSweep = 200;
static constexpr Millis kAcceptRetryInterval(20);
static constexpr Millis kDrainPollInterval(10);

class Front::Private {
 public:
  Private(FrontOptions options, const Clock& clock,
          resend::AtMostOnceGate& gate, metrics::Registry& metrics, Send send)
      : options_(std::move(options)),
        router_(io_, clock, options_.picker, options_.seed),
        pool_(io_, clock),
        loan_manager_(router_, clock, std::move(send)),
        gate_(gate),
        context_{io_, clock, router_, pool_, gate, metrics, MakeCallerLimits(),
                 {}} {
    context_.request_id_prefix = options_.request_id_prefix;
  }

  Status Start() {
    Result<asio::ip::tcp::acceptor> listening =
        net::Listen(io_, options_.address);
    if (!IsOk(listening)) return ErrorOf(listening);
    acceptor_.emplace(std::move(ValueOf(listening)));
    asio::co_spawn(io_, AcceptLoop(), asio::detached);
    asio::co_spawn(io_, SweepLoop(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
    return {};
  }

  void Stop() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

  template <class Task>
  void Post(Task task) {
    asio::post(io_, std::move(task));
  }

  /// Runs a task on the front's thread and waits for its result.
  template <class Task>
  auto RunAndWait(Task task) {
    std::packaged_task<decltype(task())()> packaged(std::move(task));
    auto future = packaged.get_future();
    asio::post(io_, std::move(packaged));
    return future.get();
  }

  std::int64_t Drain(Millis grace_period, Millis max_duration) {
    if (!thread_.joinable()) return 0;
    RunAndWait([this] {
      context_.stopping = true;
      return 0;
    });
    BlockFor(grace_period);
    RunAndWait([this] {
      error_code ignored;
      acceptor_->close(ignored);
      for (const auto& session : sessions_) {
        if (session->IsIdle()) session->CloseIdle();
      }
      return 0;
    });
    Millis waited;
    while (ActiveRequests() > 0 && waited < max_duration) {
      BlockFor(kDrainPollInterval);
      waited = waited + kDrainPollInterval;
    }
    return ActiveRequests();
  }

  std::int64_t ActiveRequests() {
    if (!thread_.joinable()) return 0;
    return RunAndWait([this] {
      std::int64_t active = 0;
      for (const auto& session : sessions_) {
        if (!session->IsIdle()) ++active;
      }
      return active;
    });
  }

  RequestRouter& Router() { return router_; }
  SlotLoanManager& LoanManager() { return loan_manager_; }

 private:
  using SessionPtr = std::shared_ptr<CallerSession>;

  static void BlockFor(Millis duration) {
    std::this_thread::sleep_for(std::chrono::milliseconds(duration.count));
  }

  CallerLimits MakeCallerLimits() const {
    return {static_cast<std::uint32_t>(options_.max_header_bytes),
            static_cast<std::uint64_t>(options_.max_body_bytes),
            options_.header_timeout, options_.body_idle_timeout};
  }

  asio::awaitable<void> AcceptLoop() {
    for (;;) {
      error_code failure;
      asio::ip::tcp::socket socket =
          co_await acceptor_->async_accept(RedirectError(failure));
      if (failure == asio::error::operation_aborted) co_return;
      if (failure) {
        kLog.Warning("Can't accept a caller connection: " + failure.message() +
                     "; retrying.");
        co_await net::Sleep(kAcceptRetryInterval);
        continue;
      }
      const auto open_connections = static_cast<std::int64_t>(sessions_.size());
      if (open_connections >= options_.max_connections) continue;
      socket.set_option(asio::ip::tcp::no_delay(true), failure);
      const auto session =
          std::make_shared<CallerSession>(std::move(socket), context_);
      sessions_.push_back(session);
      asio::co_spawn(io_, RunSession(std::prev(sessions_.end())),
                     asio::detached);
    }
  }

  asio::awaitable<void> RunSession(std::list<SessionPtr>::iterator position) {
    const SessionPtr session = *position;
    co_await session->Run();
    sessions_.erase(position);
  }

  asio::awaitable<void> SweepLoop() {
    for (int round = 0;; ++round) {
      co_await net::Sleep(router_.HasWaiters() ? kSweepInterval
                                               : kIdleSweepInterval);
      router_.Sweep();
      loan_manager_.ReportAndBorrow();
      gate_.Sweep();
      if (round % kSweepsPerPoolSweep == 0) pool_.Sweep();
    }
  }

  const FrontOptions options_;
  asio::io_context io_{1};
  RequestRouter router_;
  UpstreamPool pool_;
  SlotLoanManager loan_manager_;
  resend::AtMostOnceGate& gate_;
  SessionContext context_;
  std::optional<asio::ip::tcp::acceptor> acceptor_;
  std::list<SessionPtr> sessions_;
  std::thread thread_;
};

Front::Front(FrontOptions options, const Clock& clock,
             resend::AtMostOnceGate& gate, metrics::Registry& metrics,
             Send send)
    : d_(std::make_unique<Private>(std::move(options), clock, gate, metrics,
                                   std::move(send))) {}

Front::~Front() { d_->Stop(); }

Status Front::Start() { return d_->Start(); }

void Front::SetRoutes(std::shared_ptr<const RouteTable> routes) {
  d_->RunAndWait([d = d_.get(), routes = std::move(routes)] {
    d->Router().SetRoutes(*routes);
    return 0;
  });
}

void Front::SetPeers(std::vector<std::string> peers) {
  d_->Post([d = d_.get(), peers = std::move(peers)] {
    d->LoanManager().SetPeers(peers);
  });
}

void Front::OnMessage(const std::string& peer, const link::Message& message) {
  d_->Post([d = d_.get(), peer, message] {
    d->LoanManager().OnMessage(peer, message);
  });
}

std::int64_t Front::Drain(Millis grace_period, Millis max_duration) {
  return d_->Drain(grace_period, max_duration);
}

std::int64_t Front::ActiveRequests() const { return d_->ActiveRequests(); }

}  // namespace basilspur::front
