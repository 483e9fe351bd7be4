#include "infra/http_infra.h"

#include <optional>
#include <utility>

#include "net/http_client.h"

namespace basilspur::infra {

namespace asio = net::asio;
using net::HttpClient;
using net::HttpRequest;
using net::HttpResponse;

static constexpr unsigned kHttpOk = 200;

/// An HTTP client for one peer that blocks the calling thread until a call
/// completes.
class BlockingClient {
 public:
  BlockingClient(std::string address, Millis timeout)
      : address_(std::move(address)), timeout_(timeout), client_(context_) {}

  Result<std::string> Call(HttpRequest request, Millis max_wait) {
    std::optional<Result<HttpResponse>> result;
    asio::co_spawn(
        context_,
        [&]() -> asio::awaitable<void> {
          result = co_await client_.Call(address_, std::move(request),
                                         timeout_ + max_wait);
        },
        asio::detached);
    context_.restart();
    context_.run();
    if (!IsOk(*result)) return ErrorOf(*result);
    HttpResponse& response = ValueOf(*result);
    if (response.status == kHttpOk) return std::move(response.body);
    return Error{ErrorCode::kUnavailable, "call", address_,
                 "expected HTTP status 200, received " +
                     std::to_string(response.status)};
  }

 private:
  std::string address_;
  Millis timeout_;
  asio::io_context context_;
  HttpClient client_;
};

static std::span<const std::uint8_t> AsBytes(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

static std::string AsText(std::span<const std::uint8_t> bytes) {
  return {bytes.begin(), bytes.end()};
}

template <class T>
static Result<T> DecodeBody(const Result<std::string>& body) {
  if (!IsOk(body)) return ErrorOf(body);
  return records::Decode<T>(AsBytes(ValueOf(body)));
}

class HttpLogService final : public LogService {
 public:
  HttpLogService(std::string address, Millis timeout)
      : client_(std::move(address), timeout) {}

  Result<std::int64_t> Append(std::string_view stream,
                              std::span<const std::uint8_t> payload) override {
    HttpRequest request;
    request.method = "POST";
    request.target = "/log/" + std::string(stream);
    request.body = AsText(payload);
    return DecodeBody<std::int64_t>(client_.Call(std::move(request), {}));
  }

  Result<LogSlice> Read(std::string_view stream, std::int64_t from,
                        Millis max_wait) override {
    HttpRequest request;
    request.target = "/log/" + std::string(stream) +
                     "?from=" + std::to_string(from) +
                     "&wait_ms=" + std::to_string(max_wait.count);
    return DecodeBody<LogSlice>(client_.Call(std::move(request), max_wait));
  }

 private:
  BlockingClient client_;
};

class HttpVmDirectory final : public VmDirectory {
 public:
  HttpVmDirectory(std::string address, Millis timeout)
      : client_(std::move(address), timeout) {}

  Result<std::vector<ListedVm>> List() override {
    HttpRequest request;
    request.target = "/vms";
    return DecodeBody<std::vector<ListedVm>>(
        client_.Call(std::move(request), {}));
  }

 private:
  BlockingClient client_;
};

class HttpWorkerService final : public WorkerService {
 public:
  HttpWorkerService(asio::io_context& context, Millis timeout)
      : context_(context), timeout_(timeout), client_(context) {}

  void Sync(const std::string& address, const SyncRequest& request,
            Callback done) override {
    HttpRequest http_request;
    http_request.method = "POST";
    http_request.target = "/sync";
    http_request.body = AsText(records::Encode(request));
    asio::co_spawn(context_,
                   Run(address, std::move(http_request), std::move(done)),
                   asio::detached);
  }

 private:
  asio::awaitable<void> Run(std::string address, HttpRequest http_request,
                            Callback done) {
    Result<HttpResponse> result = co_await client_.Call(
        std::move(address), std::move(http_request), timeout_);
    if (!IsOk(result)) {
      done(ErrorOf(result));
      co_return;
    }
    done(records::Decode<SyncReply>(AsBytes(ValueOf(result).body)));
  }

  asio::io_context& context_;
  Millis timeout_;
  HttpClient client_;
};

std::unique_ptr<LogService> MakeHttpLogService(std::string address,
                                               Millis timeout) {
  return std::make_unique<HttpLogService>(std::move(address), timeout);
}

std::unique_ptr<VmDirectory> MakeHttpVmDirectory(std::string address,
                                                 Millis timeout) {
  return std::make_unique<HttpVmDirectory>(std::move(address), timeout);
}

std::unique_ptr<WorkerService> MakeHttpWorkerService(asio::io_context& context,
                                                     Millis timeout) {
  return std::make_unique<HttpWorkerService>(context, timeout);
}

}  // namespace basilspur::infra
