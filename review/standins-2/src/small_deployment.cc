#include "small_deployment.h"

#include <signal.h>
#include <stdlib.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <iostream>
#include <stdexcept>
#include <thread>

#include "fakes/free_address.h"
#include "net/address.h"
#include "net/http_client.h"
#include "store_call.h"

namespace basilspur::review {

using Json = nlohmann::json;

static constexpr Millis kCallTimeout(4'000);
/// The bounds of a small site, as on the users' pages.
static constexpr char kBounds[] =
    "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\n"
    "ack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\n"
    "config_ms = 2000\nhold_max_ms = 6000\nstop_ms = 900\ngang_ms = 3000\n"
    "cancel_ms = 3000\nvisible_ms = 3000\nfinish_s = 14\nstatus_s = 120\n";

static std::string EnvironmentOr(const char* name, const std::string& other) {
  const char* value = std::getenv(name);
  return value ? value : other;
}

void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool WithoutTrouble() { return EnvironmentOr("TROUBLE", "1") == "0"; }

int RunCase(int (*run)()) {
  try {
    return run();
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << "\n";
    return 2;
  }
}

static std::string MakeFolder() {
  std::string path = EnvironmentOr("TMPDIR", "/tmp") + "/review-XXXXXX";
  if (!mkdtemp(path.data())) throw std::runtime_error("no temporary folder");
  return path;
}

static std::string StandinPath(const std::string& name) {
  return EnvironmentOr("STANDINS", "target/review-2") + "/" + name;
}

static std::int64_t WallMs() { return SystemClock().Wall().count; }

SmallDeployment::SmallDeployment(int entries, int executors, int cpu_millis,
                                 const Json& routes, bool last_alone)
    : folder_(MakeFolder()),
      runs_path_(folder_ + "/runs.txt"),
      cpu_millis_(cpu_millis),
      record_(EnvironmentOr("RECORD", folder_ + "/record.txt")) {
  const std::string ip = fakes::ProcessLoopbackIp();
  store_address_ = fakes::FreeAddress(ip);
  store_ = std::make_unique<system_test::Process>(
      std::vector<std::string>{StandinPath("store"), store_address_},
      folder_ + "/store.log");
  const Json config = {
      {"version", 1},
      {"routes", routes},
      {"services", {{{"name", "catalogue"}, {"enforces_capacity", false}}}},
      {"limits", {{"max_body_bytes", 262'144}}}};
  Answer stored;
  for (int i = 0; i < 100 && stored.status != 200; ++i) {
    SleepMs(50);
    stored =
        Send(store_address_, MakeAppend("keyed.op", "config", config.dump()));
  }
  if (stored.status != 200) throw std::runtime_error("no store");
  for (int i = 0; i < executors; ++i) {
    Executor& executor = executors_.emplace_back();
    executor.address = fakes::FreeAddress(ip);
    executor.rack = "r" + std::to_string(1 + i / 4);
    if (last_alone && i == executors - 1) executor.rack = "alone";
    executor.id = "i-" + std::to_string(i);
    StartExecutor(executor);
  }
  for (int i = 0; i < entries; ++i) {
    Entry& entry = entries_.emplace_back();
    entry.ip = ip;
    entry.front = fakes::FreeAddress(ip);
    entry.ready = fakes::FreeAddress(ip);
    entry.port = ValueOf(net::ParseAddress(fakes::FreeAddress(ip))).port;
    StartEntry(i);
  }
  net::HttpRequest ready;
  ready.method = "GET";
  ready.target = "/-/ready";
  for (const Entry& entry : entries_) {
    int polls = 0;
    while (Send(entry.ready, ready).status != 200) {
      if (++polls > 150) throw std::runtime_error("an entry is not ready");
      SleepMs(100);
    }
  }
  Note("all entries are ready");
}

SmallDeployment::~SmallDeployment() {
  for (const std::string& line : RunLines()) record_ << line << "\n";
  entries_.clear();
  executors_.clear();
  store_.reset();
  record_.close();
  std::error_code ignored;
  if (EnvironmentOr("KEEP", "0") == "0")
    std::filesystem::remove_all(folder_, ignored);
}

void SmallDeployment::StartExecutor(Executor& executor) {
  executor.process = std::make_unique<system_test::Process>(
      std::vector<std::string>{StandinPath("executor"), executor.id,
                               executor.address, store_address_, runs_path_,
                               std::to_string(cpu_millis_), executor.rack},
      folder_ + "/" + executor.id + ".log");
}

void SmallDeployment::StartEntry(int number) {
  Entry& entry = entries_[number];
  const std::string name = "edge-z1-" + std::to_string(number + 1);
  const std::string path = folder_ + "/" + name + ".toml";
  std::ofstream settings(path);
  settings << "node = \"" << name << "\"\nrole = \"entry\"\nclass = \"edge\"\n"
           << "serves = [\"edge\"]\nip = \"" << entry.ip
           << "\"\nzone = \"z1\"\nregion = \"r\"\nport_range = [" << entry.port
           << ", " << entry.port + 1 << "]\nfirst_start = true\n"
           << "discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1100\n"
           << "control_mode = \"call\"\n[zones]\nz1 = \"r\"\n[listen]\nfront = "
           << "\"" << entry.front << "\"\nready = \"" << entry.ready
           << "\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\n"
           << "max_fds = 4100\n[platform]\naddress = \"" << store_address_
           << "\"\nform = \"log\"\nparts = 24\nrecord_bytes = 262144\n"
           << "call_bytes = 2097152\n"
           << kBounds;
  settings.close();
  setenv("BASILSPUR_BOOT", path.c_str(), /*overwrite=*/1);
  entry.process = std::make_unique<system_test::Process>(
      std::vector<std::string>{
          EnvironmentOr("BASILSPUR_NODE", "target/bin/basilspur-node")},
      folder_ + "/" + name + ".log");
}

SmallDeployment::Answer SmallDeployment::Send(const std::string& address,
                                              net::HttpRequest request) {
  net::asio::io_context context;
  net::HttpClient client(context);
  Answer answer;
  net::asio::co_spawn(
      context,
      [&]() -> net::asio::awaitable<void> {
        const auto response =
            co_await client.Call(address, std::move(request), kCallTimeout);
        if (!IsOk(response)) co_return;
        answer.status = ValueOf(response).status;
        answer.body = ValueOf(response).body;
      },
      net::asio::detached);
  context.run();
  return answer;
}

SmallDeployment::Answer SmallDeployment::Call(int entry,
                                              const std::string& method,
                                              const std::string& path,
                                              const std::string& body) {
  net::HttpRequest request;
  request.method = method;
  request.target = path;
  request.headers["Host"] = "jobs.example";
  request.headers["Content-Type"] = "application/json";
  request.headers["Basilspur-Deadline-Ms"] = "3000";
  request.body = body;
  const Answer answer = Send(entries_[entry].front, std::move(request));
  Note("requester: " + method + " " + path + " at entry " +
       std::to_string(entry) + (body.empty() ? "" : " " + body) + " -> " +
       std::to_string(answer.status) + " " + answer.body);
  return answer;
}

std::string SmallDeployment::StateOf(int entry, const std::string& path) {
  const Json body = Json::parse(Call(entry, "GET", path).body, nullptr, false);
  return body.is_object() ? body.value("state", std::string()) : "";
}

void SmallDeployment::Crash(int number) {
  Executor& executor = executors_[number];
  Note("trouble: executor " + executor.id + " is killed");
  executor.process->Signal(SIGKILL);
  executor.process->Wait();
}

void SmallDeployment::Restart(int number) {
  Executor& executor = executors_[number];
  Send(store_address_, MakeAppend("keyed.servers", executor.id, ""));
  executor.id =
      "i-" + std::to_string(number) + "-" + std::to_string(++executor.lifetime);
  Note("executor " + executor.id + " starts");
  StartExecutor(executor);
}

void SmallDeployment::SetSick(int number, bool sick) {
  const std::string& id = executors_[number].id;
  const std::string path = runs_path_ + ".sick." + id;
  Note("trouble: executor " + id + (sick ? " turns unhealthy" : " is healthy"));
  if (sick) {
    std::ofstream file(path);
  } else {
    std::filesystem::remove(path);
  }
}

int SmallDeployment::FindOwner() const {
  int owner = -1;
  std::string newest;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    std::ifstream log(folder_ + "/edge-z1-" + std::to_string(i + 1) + ".log");
    for (std::string line; std::getline(log, line);) {
      if (line.find("event=owner_ready") == std::string::npos) continue;
      const std::string time = line.substr(0, line.find(' '));
      if (time <= newest) continue;
      newest = time;
      owner = static_cast<int>(i);
    }
  }
  return owner;
}

void SmallDeployment::SetFrozen(int entry, bool frozen) {
  Note("trouble: entry " + std::to_string(entry) +
       (frozen ? " freezes" : " wakes again"));
  entries_[entry].process->Signal(frozen ? SIGSTOP : SIGCONT);
  frozen_entry_ = frozen ? entry : -1;
}

void SmallDeployment::Note(const std::string& line) {
  record_ << WallMs() << " " << line << std::endl;
}

std::vector<std::string> SmallDeployment::RunLines() const {
  std::ifstream file(runs_path_);
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) lines.push_back(line);
  return lines;
}

}  // namespace basilspur::review
