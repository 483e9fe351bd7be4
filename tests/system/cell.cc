#include "system/cell.h"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "fakes/free_address.h"
#include "net/http_client.h"

namespace basilspur::system_test {

namespace asio = net::asio;

static constexpr std::chrono::milliseconds kPollInterval(20);
static constexpr std::chrono::seconds kConditionTimeout(60);

static std::string ProgramPath(const std::string& name) {
  return std::string(BASILSPUR_BIN) + "/" + name;
}

bool Eventually(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kConditionTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition()) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

int RunEvent::RunningDelta() const {
  if (type == "throttle" || type == "release") return 0;
  return type == "start" ? 1 : -1;
}

Cell::Cell(int entry_count, int vm_count, int executor_count,
           const std::string& extra_settings)
    : extra_settings_(extra_settings) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "basilspur-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
  platform_address = StartStandin("standin_platform", "platform");
  for (int i = 0; i < executor_count; ++i) {
    executor_addresses.push_back(
        StartStandin("standin_executor", "executor-" + std::to_string(i)));
  }
  for (int i = 0; i < vm_count; ++i) {
    const std::string name = "vm-" + std::to_string(i);
    worker_addresses.push_back(
        StartStandin("standin_worker", "worker-of-" + name));
    ControlPlatform("/control/vm?name=" + name +
                    "&worker=" + worker_addresses.back() +
                    "&rack=r&dc=moss&cpu=4000&memory=8000");
  }
  for (int i = 0; i < entry_count; ++i) {
    EntryProcess& entry = entries.emplace_back();
    entry.name = "entry-" + std::to_string(i);
    entry.callers_address = fakes::FreeAddress();
    entry.operators_address = fakes::FreeAddress();
    entry.links_address = fakes::FreeAddress();
    entry.status_address = fakes::FreeAddress();
    ControlPlatform("/control/vm?name=vm-of-" + entry.name + "&dc=moss");
    StartEntry(static_cast<std::size_t>(i));
  }
  for (std::size_t i = 0; i < entries.size(); ++i) WaitUntilReady(i);
}

Cell::~Cell() {
  entries.clear();
  standins_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

std::string Cell::StartStandin(const std::string& program,
                               const std::string& name) {
  const std::string output_file = directory_ + "/" + name;
  standins_.push_back(std::make_unique<Process>(
      std::vector<std::string>{ProgramPath(program), "127.0.0.1:0"},
      output_file));
  std::string port;
  Eventually([&] {
    std::ifstream output(output_file);
    return static_cast<bool>(std::getline(output, port)) && !output.eof();
  });
  return "127.0.0.1:" + port;
}

void Cell::StartEntry(std::size_t index) {
  EntryProcess& entry = entries[index];
  entry.process.reset();
  entry.settings_file = directory_ + "/" + entry.name + ".yaml";
  std::ofstream settings(entry.settings_file);
  settings << "entry: {name: " << entry.name
           << ", data_center: moss, vm: vm-of-" << entry.name << "}\n"
           << "listen: {callers: \"" << entry.callers_address
           << "\", operators: \"" << entry.operators_address << "\", links: \""
           << entry.links_address << "\", status: \"" << entry.status_address
           << "\"}\n"
           << "lease: {length_ms: 3000, renew_interval_ms: 300, "
              "clock_drift_ms: 300}\n"
           << "limits: {drain_ms: 300}\n";
  if (extra_settings_.empty()) {
    settings << "platform: {log: \"" << platform_address << "\", vms: \""
             << platform_address << "\", vms_interval_ms: 200}\n";
  } else {
    settings << "platform: {log: \"" << platform_address << "\", vms: \""
             << platform_address << "\", vms_interval_ms: 200, "
             << extra_settings_ << "}\n";
  }
  settings.close();
  entry.process = std::make_unique<Process>(
      std::vector<std::string>{ProgramPath("basilspurd"), "--settings",
                               entry.settings_file},
      directory_ + "/" + entry.name + ".log");
}

void Cell::WaitUntilReady(std::size_t index) {
  const bool ready = Eventually([&] {
    return Call(entries[index].status_address, "GET", "/readyz").status == 200;
  });
  if (!ready)
    throw std::runtime_error(entries[index].name +
                             " did not become ready within a minute");
}

void Cell::PutService(const std::string& name) {
  std::vector<std::string> arguments = {"service", "put", name, "--wait"};
  for (const auto& executor : executor_addresses) {
    arguments.push_back("--target");
    arguments.push_back(executor + "/8");
  }
  if (RunOperatorCommand(arguments).exit_code != 0) {
    throw std::runtime_error("publishing of service " + name + " failed");
  }
}

ProcessResult Cell::RunOperatorCommand(
    const std::vector<std::string>& arguments, std::size_t index) {
  std::vector<std::string> command = {ProgramPath("basilspur"), "--entry",
                                      entries[index].operators_address,
                                      "--actor", "test"};
  command.insert(command.end(), arguments.begin(), arguments.end());
  return RunProgram(
      command, directory_ + "/output-" + std::to_string(output_file_count_++));
}

net::HttpResponse Cell::Call(const std::string& address,
                             const std::string& method,
                             const std::string& target,
                             const std::map<std::string, std::string>& headers,
                             const std::string& body, std::int64_t timeout_ms) {
  asio::io_context context;
  net::HttpClient client(context);
  net::HttpRequest request;
  request.method = method;
  request.target = target;
  request.headers = {headers.begin(), headers.end()};
  request.body = body;
  net::HttpResponse response;
  response.status = 0;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        auto result =
            co_await client.Call(address, request, Millis(timeout_ms));
        if (IsOk(result)) response = std::move(ValueOf(result));
      },
      asio::detached);
  context.run();
  return response;
}

std::vector<RunEvent> Cell::Ledger() {
  std::vector<RunEvent> ledger;
  for (std::size_t i = 0; i < worker_addresses.size(); ++i) {
    std::istringstream lines(Call(worker_addresses[i], "GET", "/ledger").body);
    RunEvent event;
    while (lines >> event.job >> event.run >> event.type >> event.at_ms >>
           event.progress_ms) {
      event.vm = "vm-" + std::to_string(i);
      ledger.push_back(event);
    }
  }
  std::stable_sort(
      ledger.begin(), ledger.end(),
      [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
  return ledger;
}

std::string Cell::FindJobWithOverlappingRuns() {
  std::map<std::string, int> running;
  for (const auto& event : Ledger()) {
    running[event.job] += event.RunningDelta();
    if (running[event.job] > 1) return event.job;
  }
  return "";
}

int Cell::CountEvents(const std::string& job, const std::string& type) {
  const auto ledger = Ledger();
  return static_cast<int>(
      std::count_if(ledger.begin(), ledger.end(), [&](const auto& event) {
        return event.job == job && event.type == type;
      }));
}

int Cell::CountExecutions(const std::string& id) {
  int count = 0;
  for (const auto& executor : executor_addresses) {
    std::istringstream lines(Call(executor, "GET", "/ledger").body);
    std::string type;
    std::string executed_id;
    while (lines >> type >> executed_id) {
      if (type == "start" && executed_id == id) ++count;
    }
  }
  return count;
}

std::string Cell::PhaseOf(const std::string& job, std::size_t index) {
  const std::string json =
      RunOperatorCommand({"job", "list", job, "--json"}, index).output;
  const std::string key = "\"phase\": \"";
  const std::size_t key_start = json.find(key);
  if (key_start == std::string::npos) return "";
  const std::size_t value_start = key_start + key.size();
  return json.substr(value_start, json.find('"', value_start) - value_start);
}

}  // namespace basilspur::system_test
