#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <stdexcept>

#include "net/http_client.h"
#include "net/spawn.h"

namespace review {

namespace net = basilspur::net;
using basilspur::IsOk;
using basilspur::Millis;
using basilspur::ValueOf;

static constexpr char kProgram[] = "target/bin/basilspur-node";

static int FreePort(const std::string& ip, int count = 1) {
  static int next = 21'000 + getpid() % 5'000;
  for (;;) {
    const int port = next;
    next += count;
    bool free = true;
    for (int i = 0; i < count && free; ++i) {
      const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
      sockaddr_in address = {};
      address.sin_family = AF_INET;
      address.sin_port = htons(port + i);
      inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
      free = bind(socket_fd, reinterpret_cast<sockaddr*>(&address),
                  sizeof address) == 0;
      close(socket_fd);
    }
    if (free) return port;
  }
}

Deployment::Deployment(World& world, DeploymentOptions options)
    : world_(world), options_(options) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  if (!mkdtemp(pattern.data())) throw std::runtime_error("no folder");
  folder_ = pattern;
  const std::string prefix = "127." + std::to_string(64 + getpid() % 60) + "." +
                             std::to_string(getpid() / 60 % 250) + ".";
  const std::string platform_ip = prefix + "200";
  store_address_ = platform_ip + ":" + std::to_string(FreePort(platform_ip));
  net::ServeHttp(context_, store_address_, [this](net::HttpRequest request) {
    return store.HandleRequest(std::move(request));
  });
  for (int i = 0; i < options_.workers; ++i) {
    const std::string ip = prefix + std::to_string(100 + i % 90);
    worker_addresses_.push_back(ip + ":" + std::to_string(FreePort(ip)));
    workers.push_back(std::make_unique<Worker>(
        world_, "x" + std::to_string(i),
        "r" + std::to_string(i / options_.workers_a_rack),
        options_.hold_max_ms));
    net::ServeHttp(context_, worker_addresses_.back(),
                   [worker = workers.back().get()](net::HttpRequest request) {
                     return worker->Handle(std::move(request));
                   });
  }
  for (auto& worker : workers) {
    if (options_.name_births) worker->NameBirth();
  }
  store.Put("keyed.op", "config", R"({"version":1,
    "routes":[
      {"name":"q","host":"jobs.example","path_prefix":"/q/","service":"s",
       "priority":0,"attempts":3,"stretch":1.5,"slo_ms":1000},
      {"name":"b","host":"jobs.example","path_prefix":"/b/","service":"s",
       "priority":2,"attempts":3,"stretch":2.0,"slo_ms":1000}],
    "services":[{"name":"s","enforces_capacity":false}],
    "limits":{"max_body_bytes":262144}})");
  for (int i = 0; i < options_.workers; ++i) Publish(i, "ready");
  for (int i = 0; i < options_.entries; ++i) {
    auto entry = std::make_unique<Entry>();
    entry->ip = prefix + std::to_string(1 + i);
    entry->front = entry->ip + ":" + std::to_string(FreePort(entry->ip));
    entry->ready = entry->ip + ":" + std::to_string(FreePort(entry->ip));
    entry->peer_port = FreePort(entry->ip, 2);
    entry->settings_path = folder_ + "/entry-" + std::to_string(i) + ".toml";
    entry->log_path = folder_ + "/entry-" + std::to_string(i) + ".log";
    entries_.push_back(std::move(entry));
    WriteSettings(i);
  }
  net::Spawn(context_, TickWorkers(), "tick");
  threads_.emplace_back([this] { net::RunHandlers(context_); });
  for (int i = 0; i < options_.entries; ++i) Start(i);
  threads_.emplace_back([this] { PollReadiness(); });
  threads_.emplace_back([this] { WatchProcesses(); });
}

Deployment::~Deployment() {
  stopping_ = true;
  for (auto& entry : entries_) {
    const std::lock_guard lock(entry->mutex);
    if (entry->pid <= 0) continue;
    kill(entry->pid, SIGCONT);
    kill(entry->pid, SIGKILL);
    waitpid(entry->pid, nullptr, 0);
    entry->pid = -1;
  }
  context_.stop();
  for (std::thread& thread : threads_) thread.join();
  if (!std::getenv("KEEP_LOGS")) std::filesystem::remove_all(folder_);
}

net::asio::awaitable<void> Deployment::TickWorkers() {
  for (;;) {
    for (auto& worker : workers) {
      worker->Advance();
      worker->CarryOutLate();
    }
    co_await net::Sleep(Millis(20));
  }
}

void Deployment::Publish(int worker, const std::string& state) {
  Worker& shown = *workers[worker];
  store.Put("keyed.servers", shown.Id(),
            state.empty() ? "" : shown.Entry(worker_addresses_[worker], state));
}

void Deployment::WriteSettings(int number) {
  const Entry& entry = *entries_[number];
  std::ofstream out(entry.settings_path);
  out << "node = \"edge-z1-" << number << "\"\nrole = \"entry\"\n"
      << "class = \"edge\"\nserves = [\"edge\"]\nip = \"" << entry.ip
      << "\"\nzone = \"z1\"\nregion = \"area\"\nport_range = ["
      << entry.peer_port << ", " << entry.peer_port + 1 << "]\n"
      << "first_start = true\nheartbeat_ms = 1500\ncontrol_mode = \"call\"\n"
      << "[listen]\nfront = \"" << entry.front << "\"\nready = \""
      << entry.ready << "\"\n[limits]\ncpu_share = 1.0\ncores = 1\n"
      << "memory_mb = " << options_.memory_mb
      << "\nmax_fds = 4100\n[bounds]\ncontact_ms = 3000\nack_ms = 4000\n"
      << "drain_ms = 2000\ngrace_s = 6\nconfig_ms = 2000\nrecover_s = 12\n"
      << "hold_max_ms = " << options_.hold_max_ms
      << "\nstop_ms = 900\ngang_ms = 3000\ncancel_ms = 3000\n"
      << "visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n"
      << "fencing = false\n[platform]\naddress = \"" << store_address_
      << "\"\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\n"
      << "parts = 24\nrecord_bytes = 262144\ncall_bytes = 2097152\n"
      << "keep_s = 300\npart_mb = 200\n";
}

void Deployment::Start(int number) {
  Entry& entry = *entries_[number];
  const pid_t pid = fork();
  if (pid == 0) {
    const int log =
        open(entry.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    for (int fd = 3; fd < 1'024; ++fd) close(fd);
    setenv("BASILSPUR_BOOT", entry.settings_path.c_str(), 1);
    execl(kProgram, kProgram, nullptr);
    _exit(127);
  }
  const std::lock_guard lock(entry.mutex);
  entry.pid = pid;
  entry.restart_at = 0;
  world_.Note("entry " + std::to_string(number) + " starts");
}

void Deployment::Restart(int entry) { Start(entry); }

void Deployment::Signal(int number, int signal) {
  Entry& entry = *entries_[number];
  const std::lock_guard lock(entry.mutex);
  if (entry.pid > 0) kill(entry.pid, signal);
  world_.Note("signal " + std::to_string(signal) + " to entry " +
              std::to_string(number));
}

/// Resident memory of a process, in MB.
static std::int64_t MemoryMbOf(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  std::int64_t kb = 0;
  while (status >> word) {
    if (word == "VmRSS:" && status >> kb) break;
  }
  return kb >> 10;
}

void Deployment::WatchProcesses() {
  while (!stopping_) {
    usleep(50'000);
    for (int i = 0; i < options_.entries; ++i) {
      Entry& entry = *entries_[i];
      bool start = false;
      {
        const std::lock_guard lock(entry.mutex);
        if (stopping_) return;
        int status = 0;
        if (entry.pid > 0 && waitpid(entry.pid, &status, WNOHANG) > 0) {
          world_.Note("entry " + std::to_string(i) + " has ended, status " +
                      std::to_string(status));
          entry.pid = -1;
          entry.restart_at = NowMs() + 500;
        }
        if (entry.pid > 0) {
          const std::int64_t memory_mb = MemoryMbOf(entry.pid);
          if (memory_mb > entry.peak_mb) entry.peak_mb = memory_mb;
          if (options_.kill_over_memory && memory_mb > options_.memory_mb) {
            world_.Note("entry " + std::to_string(i) + " has " +
                        std::to_string(memory_mb) +
                        " MB: over its memory, the platform kills it");
            kill(entry.pid, SIGKILL);
            ++entry.kills;
            waitpid(entry.pid, nullptr, 0);
            entry.pid = -1;
            entry.restart_at = NowMs() + 500;
          }
        }
        start = entry.pid < 0 && entry.restart_at > 0 &&
                NowMs() >= entry.restart_at;
      }
      if (start) Start(i);
    }
  }
}

static Answer CallOnce(const std::string& address, const std::string& method,
                       const std::string& path, const std::string& body,
                       int timeout_ms) {
  net::asio::io_context context;
  net::HttpClient client(context);
  Answer answer;
  net::HttpRequest request;
  request.method = method;
  request.target = path;
  request.headers["Host"] = "jobs.example";
  request.headers["Content-Type"] = "application/json";
  request.headers["Basilspur-Deadline-Ms"] = std::to_string(timeout_ms);
  request.body = body;
  net::Spawn(
      context,
      [&]() -> net::asio::awaitable<void> {
        const auto response = co_await client.Call(address, std::move(request),
                                                   Millis(timeout_ms));
        if (!IsOk(response)) co_return;
        answer.status = ValueOf(response).status;
        answer.body = ValueOf(response).body;
      }(),
      "call");
  net::RunHandlers(context);
  return answer;
}

Answer Deployment::Call(int entry, const std::string& method,
                        const std::string& path, const std::string& body,
                        int timeout_ms) {
  return CallOnce(entries_[entry]->front, method, path, body, timeout_ms);
}

void Deployment::PollReadiness() {
  while (!stopping_) {
    for (auto& entry : entries_) {
      const Answer answer = CallOnce(entry->ready, "GET", "/-/ready", "", 300);
      entry->misses = answer.status == 200 ? 0 : entry->misses + 1;
      entry->in_rotation = entry->misses < 2;
    }
    for (int i = 0; i < 20 && !stopping_; ++i) usleep(50'000);
  }
}

void Deployment::WaitUntilReady() {
  for (int i = 0; i < 400; ++i) {
    int ready = 0;
    for (auto& entry : entries_) {
      if (CallOnce(entry->ready, "GET", "/-/ready", "", 300).status == 200)
        ++ready;
    }
    if (ready == options_.entries) {
      for (auto& entry : entries_) entry->in_rotation = true;
      return;
    }
    usleep(50'000);
  }
  throw std::runtime_error("the entries are not ready");
}

int Deployment::ChooseEntry() {
  int in_rotation = 0;
  for (auto& entry : entries_) in_rotation += entry->in_rotation ? 1 : 0;
  const bool all = 2 * in_rotation < options_.entries;
  for (;;) {
    const int entry = static_cast<int>(next_++ % options_.entries);
    if (all || entries_[entry]->in_rotation) return entry;
  }
}

void Deployment::RunOnStandins(const std::function<void()>& function) {
  std::promise<void> done;
  net::asio::post(context_, [&] {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

std::string MakeId(int number) {
  char text[17];
  snprintf(text, sizeof text, "%08x%08x", 0x5c0e7a21u * (number + 1), number);
  return text;
}

void Submit(World& world, Deployment& deployment, JobRequest& job) {
  world.AddJob(job.id, job.body);
  const std::string body = job.body.dump();
  for (int attempt = 1; attempt <= 5; ++attempt) {
    const int entry = deployment.ChooseEntry();
    const Answer answer =
        deployment.Call(entry, "POST", job.path + job.id, body, 3'000);
    world.Note("POST " + job.path + job.id + " entry=" + std::to_string(entry) +
               " attempt=" + std::to_string(attempt) +
               " status=" + std::to_string(answer.status));
    if (answer.status >= 200 && answer.status < 300) {
      job.accepted = true;
      job.accepted_at = NowMs();
      return;
    }
    if (answer.status >= 400 && answer.status < 429) return;
    usleep(400'000);
  }
}

std::string AskState(World& world, Deployment& deployment,
                     const JobRequest& job) {
  std::string state = "no answer";
  for (int i = 0; i < deployment.Entries(); ++i) {
    const int entry = deployment.ChooseEntry();
    const Answer answer =
        deployment.Call(entry, "GET", job.path + job.id, "", 3'000);
    if (answer.status == 200)
      state = Json::parse(answer.body).value("state", "");
    if (answer.status == 410) state = "410";
    world.Note("GET " + job.path + job.id + " entry=" + std::to_string(entry) +
               " status=" + std::to_string(answer.status) + " " + state);
    if (answer.status == 200 || answer.status == 410) return state;
  }
  return state;
}

}  // namespace review
