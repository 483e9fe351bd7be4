#include "system/platform_deployment.h"

#include <signal.h>
#include <stdlib.h>

#include <array>
#include <boost/asio/write.hpp>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "cell/layout.h"
#include "fakes/free_address.h"
#include "net/address.h"
#include "net/http_client.h"
#include "records/codec.h"

namespace basilspur::system_test {

using Json = nlohmann::json;

static constexpr Millis kCallTimeout(4'000);
static constexpr std::chrono::milliseconds kPollInterval(20);
static constexpr int kMaxPolls = 500;
static constexpr std::chrono::milliseconds kSilence(2'000);
/// Delay of a response that counts as lost: longer than any client's time-out.
static constexpr Millis kNoResponseDelay(10'000);

static std::string MakeTemporaryFolder() {
  const char* parent = std::getenv("TMPDIR");
  std::string path = parent ? parent : "/tmp";
  path += "/basilspur-platform-XXXXXX";
  if (!mkdtemp(path.data()))
    throw std::runtime_error("cannot create the folder " + path);
  return path;
}

static std::string FreeAddress() {
  return fakes::FreeAddress(fakes::ProcessLoopbackIp());
}

PlatformDeployment::PlatformDeployment(int entries, int workers, int cells,
                                       bool relay_peers,
                                       std::string more_settings)
    : cells_(cells),
      more_settings_(std::move(more_settings)),
      peer_client_(context_),
      temporary_folder_(MakeTemporaryFolder()),
      entries_(entries),
      starts_(entries) {
  for (int i = 0; i < entries; ++i) {
    store_addresses_.push_back(FreeAddress());
    net::ServeHttp(context_, store_addresses_.back(),
                   [this, i](net::HttpRequest request) {
                     return ServeStore(i, std::move(request));
                   });
  }
  for (int i = 0; i < workers; ++i) {
    this->workers.push_back(std::make_unique<standins::WorkerStandin>(
        "i-" + std::to_string(i), histories));
    worker_addresses_.push_back(FreeAddress());
    net::ServeHttp(
        context_, worker_addresses_.back(),
        [worker = this->workers.back().get()](net::HttpRequest request) {
          return worker->HandleRequest(std::move(request));
        });
  }
  store.Put("keyed.op", "config",
            R"({"version":1,"routes":[{"name":"r","host":"jobs.example",
                "path_prefix":"/q/","service":"s","attempts":2}],
                "services":[{"name":"s"}]})");
  PublishWorkerEntries();
  if (cells > 1) PublishLayout();
  for (int i = 0; i < entries; ++i) {
    addresses_.push_back({FreeAddress(), FreeAddress(), FreeAddress(), ""});
    if (!relay_peers) continue;
    addresses_.back().peers_relay = FreeAddress();
    net::ServeHttp(context_, addresses_.back().peers_relay,
                   [this, i](net::HttpRequest request) {
                     return ServePeer(i, std::move(request));
                   });
  }
  thread_ = std::thread([this] { context_.run(); });
  for (int i = 0; i < entries; ++i) StartEntry(i);
}

PlatformDeployment::~PlatformDeployment() {
  entries_.clear();
  context_.stop();
  thread_.join();
}

static std::string RackOf(int cell) { return "r" + std::to_string(cell + 1); }

void PlatformDeployment::PublishLayout() {
  cell::Layout layout;
  layout.cells = cells_;
  for (int cell = 0; cell < cells_; ++cell)
    layout.cell_by_rack[RackOf(cell)] = cell;
  const records::Bytes bytes = records::Encode(layout);
  store.Put("keyed.layout", "layout", std::string(bytes.begin(), bytes.end()));
}

void PlatformDeployment::PublishWorkerEntries() {
  for (std::size_t i = 0; i < worker_addresses_.size(); ++i) {
    const Json entry = {
        {"service", "s"},
        {"address", worker_addresses_[i]},
        {"state", "ready"},
        {"room",
         {{"cpu", standins::WorkerStandin::kCpuMillis}, {"mem_mb", 8'000}}},
        {"labels", {"a", RackOf(static_cast<int>(i) % cells_)}}};
    store.Put("keyed.servers", "i-" + std::to_string(i), entry.dump());
  }
  store.Put("keyed.servers", "i-other", "an entry in another format");
}

/// BASILSPUR_NODE names a program of another build, so that the same test runs
/// against an earlier version.
static std::string ProgramPath() {
  const char* path = std::getenv("BASILSPUR_NODE");
  return path ? path : BASILSPUR_BIN "/basilspur-node";
}

void PlatformDeployment::StartEntry(int entry, const std::string& grace_s) {
  const Addresses& addresses = addresses_[entry];
  const std::string name =
      temporary_folder_ + "/entry-" + std::to_string(entry);
  const auto peers = net::ParseAddress(addresses.peers);
  const int port = ValueOf(peers).port;
  std::ofstream settings(name + ".toml");
  settings << "node = \"entry-" << entry << "\"\nip = \""
           << fakes::ProcessLoopbackIp() << "\"\n"
           << "port_range = [" << port << ", " << port + 1 << "]\n"
           << "[listen]\nfront = \"" << addresses.caller_api << "\"\nready = \""
           << addresses.readiness << "\"\n[platform]\naddress = \""
           << store_addresses_[entry] << "\"\n[bounds]\ngrace_s = " << grace_s
           << "\n"
           << more_settings_;
  settings.close();
  ++starts_[entry];
  entries_[entry] = std::make_unique<Process>(
      std::vector<std::string>{ProgramPath(), "--boot", name + ".toml"},
      LogPath(entry));
}

/// Replaces an address by another one of the same length, which keeps the
/// lengths in encoded records right.
static void ReplaceAddress(std::string& body, const std::string& from,
                           const std::string& to) {
  for (auto at = body.find(from); at != std::string::npos;
       at = body.find(from, at + from.size())) {
    body.replace(at, from.size(), to);
  }
}

net::asio::awaitable<net::HttpResponse> PlatformDeployment::ServeStore(
    int entry, net::HttpRequest request) {
  const Addresses& addresses = addresses_[entry];
  if (!addresses.peers_relay.empty())
    ReplaceAddress(request.body, addresses.peers, addresses.peers_relay);
  net::HttpResponse response;
  response.status = 503;
  if (!cut_off_.contains(entry))
    response = co_await store.HandleRequest(std::move(request));
  if (cut_off_.contains(entry)) co_await net::Sleep(kNoResponseDelay);
  co_return response;
}

net::asio::awaitable<net::HttpResponse> PlatformDeployment::ServePeer(
    int entry, net::HttpRequest request) {
  net::HttpResponse response;
  response.status = 503;
  if (!cut_off_.contains(entry)) {
    auto answer = co_await peer_client_.Call(addresses_[entry].peers,
                                             std::move(request), kCallTimeout);
    if (IsOk(answer)) response = ValueOf(std::move(answer));
  }
  if (cut_off_.contains(entry)) co_await net::Sleep(kNoResponseDelay);
  co_return response;
}

void PlatformDeployment::SetCutOff(int entry, bool cut) {
  RunOnStandins([&] {
    if (cut) {
      cut_off_.insert(entry);
    } else {
      cut_off_.erase(entry);
    }
  });
}

void PlatformDeployment::RunOnStandins(const std::function<void()>& function) {
  std::promise<void> done;
  net::asio::post(context_, [&] {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

static Result<net::HttpResponse> CallOnce(const std::string& address,
                                          net::HttpRequest request) {
  net::asio::io_context context;
  net::HttpClient client(context);
  std::promise<Result<net::HttpResponse>> answer;
  net::asio::co_spawn(
      context,
      [&]() -> net::asio::awaitable<void> {
        answer.set_value(
            co_await client.Call(address, std::move(request), kCallTimeout));
      },
      net::asio::detached);
  context.run();
  return answer.get_future().get();
}

unsigned PlatformDeployment::Call(int entry, const std::string& method,
                                  const std::string& path,
                                  const std::string& body) {
  net::HttpRequest request;
  request.method = method;
  request.target = path;
  request.headers["Host"] = "jobs.example";
  request.body = body;
  const auto answer =
      CallOnce(addresses_[entry].caller_api, std::move(request));
  return IsOk(answer) ? ValueOf(answer).status : 0;
}

cell::JobReply PlatformDeployment::CallAsPeer(int entry,
                                              const cell::JobRequest& request) {
  const records::Bytes bytes = records::Encode(request);
  net::HttpRequest message;
  message.method = "POST";
  message.target = "/jobs";
  message.body = std::string(bytes.begin(), bytes.end());
  const auto answer = CallOnce(addresses_[entry].peers, std::move(message));
  if (!IsOk(answer)) return {cell::ReplyKind::kInDoubt};
  const std::string& body = ValueOf(answer).body;
  const auto* data = reinterpret_cast<const std::uint8_t*>(body.data());
  return ValueOf(records::Decode<cell::JobReply>(std::span(data, body.size())));
}

bool PlatformDeployment::IsReady(int entry) {
  net::HttpRequest request;
  request.target = "/-/ready";
  const auto answer = CallOnce(addresses_[entry].readiness, std::move(request));
  return IsOk(answer) && ValueOf(answer).status == 200;
}

bool PlatformDeployment::IsServingMetrics(int entry) {
  net::HttpRequest request;
  request.target = "/metrics";
  const auto answer = CallOnce(addresses_[entry].peers, std::move(request));
  return IsOk(answer) && ValueOf(answer).status == 200;
}

void PlatformDeployment::Exchange(const std::string& address,
                                  const std::string& text) {
  const net::Address parsed = ValueOf(net::ParseAddress(address));
  net::asio::io_context context;
  net::asio::ip::tcp::socket socket(context);
  socket.connect({net::asio::ip::make_address(parsed.ip), parsed.port});
  const auto discard = [&]() -> net::asio::awaitable<void> {
    std::array<char, 4'096> discarded;
    net::error_code failure;
    while (!failure) {
      co_await socket.async_read_some(
          net::asio::buffer(discarded),
          net::asio::redirect_error(net::asio::use_awaitable, failure));
    }
  };
  net::asio::co_spawn(context, discard, net::asio::detached);
  net::asio::async_write(socket, net::asio::buffer(text),
                         [](const net::error_code&, std::size_t) {});
  while (context.run_one_for(kSilence) > 0) {
  }
}

void PlatformDeployment::WaitUntilReady() {
  for (int i = 0; i < kMaxPolls; ++i) {
    bool ready = true;
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
      ready = ready && IsReady(static_cast<int>(entry));
    }
    if (ready) return;
    std::this_thread::sleep_for(kPollInterval);
  }
  throw std::runtime_error("not all entries are ready within 10 s");
}

unsigned PlatformDeployment::Submit(int entry, const std::string& job,
                                    int count, const std::string& payload) {
  const Json body = {
      {"spec", payload},
      {"steps", {{{"count", count}, {"cpu", 1'000}, {"mem_mb", 100}}}}};
  return Call(entry, "POST", "/q/" + job, body.dump());
}

std::string PlatformDeployment::JobStateOf(int entry, const std::string& job) {
  net::HttpRequest request;
  request.target = "/q/" + job;
  request.headers["Host"] = "jobs.example";
  const auto answer =
      CallOnce(addresses_[entry].caller_api, std::move(request));
  if (!IsOk(answer)) return "";
  const Json body = Json::parse(ValueOf(answer).body, nullptr, false);
  return body.is_object() ? body.value("state", "") : "";
}

bool PlatformDeployment::WaitForJobState(int entry, const std::string& job,
                                         const std::string& state,
                                         Millis timeout) {
  const SystemClock clock;
  const Millis deadline = clock.Monotonic() + timeout;
  while (clock.Monotonic() < deadline) {
    if (JobStateOf(entry, job) == state) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

std::string PlatformDeployment::LogPath(int entry) const {
  return temporary_folder_ + "/entry-" + std::to_string(entry) + "." +
         std::to_string(starts_[entry]) + ".log";
}

std::string PlatformDeployment::ReadLog(int entry) const {
  std::ifstream file(LogPath(entry));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

bool PlatformDeployment::HasLogged(int entry) const {
  std::ifstream file(LogPath(entry));
  return file.peek() != std::ifstream::traits_type::eof();
}

int PlatformDeployment::CountInLogs(const std::string& text) const {
  int count = 0;
  for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
    const std::string log = ReadLog(static_cast<int>(entry));
    for (auto at = log.find(text); at != std::string::npos;
         at = log.find(text, at + text.size())) {
      ++count;
    }
  }
  return count;
}

int PlatformDeployment::FindOwner() {
  for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
    const std::string log = ReadLog(static_cast<int>(entry));
    const auto ready = log.rfind("event=owner_ready");
    const auto ended = log.rfind("event=ownership_ended");
    if (ready == std::string::npos) continue;
    if (ended == std::string::npos || ended < ready) {
      return static_cast<int>(entry);
    }
  }
  return -1;
}

}  // namespace basilspur::system_test
