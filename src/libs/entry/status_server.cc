#include "entry/status_server.h"

#include <thread>
#include <utility>

#include "net/http_server.h"

namespace basilspur::entry {

namespace asio = net::asio;
using net::HttpRequest;
using net::HttpResponse;

static constexpr unsigned kHttpNotFound = 404;
static constexpr unsigned kHttpServiceUnavailable = 503;

class StatusServer::Private {
 public:
  Private(metrics::Registry& metrics, StatusCallbacks callbacks)
      : metrics_(metrics), callbacks_(std::move(callbacks)) {}

  Status Start(const std::string& address) {
    const auto serving = net::ServeHttp(
        io_, address,
        [this](HttpRequest request) -> asio::awaitable<HttpResponse> {
          co_return MakeResponse(request);
        });
    if (!IsOk(serving)) return ErrorOf(serving);
    thread_ = std::thread([this] { io_.run(); });
    return {};
  }

  void Stop() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

 private:
  HttpResponse MakeResponse(const HttpRequest& request) {
    HttpResponse response;
    response.content_type = "text/plain; charset=utf-8";
    if (request.target == "/healthz") {
      response.body = "ok\n";
    } else if (request.target == "/readyz") {
      const std::string reason = callbacks_.not_ready_reason();
      if (!reason.empty()) response.status = kHttpServiceUnavailable;
      response.body = (reason.empty() ? "ready" : reason) + "\n";
    } else if (request.target == "/metrics") {
      callbacks_.refresh_gauges();
      response.content_type = "text/plain; version=0.0.4; charset=utf-8";
      response.body = metrics_.Render();
    } else {
      response.status = kHttpNotFound;
      response.body = "pages: /healthz /readyz /metrics\n";
    }
    return response;
  }

  metrics::Registry& metrics_;
  const StatusCallbacks callbacks_;
  asio::io_context io_{1};
  std::thread thread_;
};

StatusServer::StatusServer(metrics::Registry& metrics,
                           StatusCallbacks callbacks)
    : d_(std::make_unique<Private>(metrics, std::move(callbacks))) {}

StatusServer::~StatusServer() { Stop(); }

Status StatusServer::Start(const std::string& address) {
  return d_->Start(address);
}

void StatusServer::Stop() { d_->Stop(); }

}  // namespace basilspur::entry
