#include "system/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace basilspur::system_test {

Process::Process(const std::vector<std::string>& command,
                 const std::string& output_file) {
  std::vector<char*> arguments;
  for (const auto& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kOutputFileMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC,
                                   kOutputFileMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&pid_, arguments[0], &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0)
    throw std::runtime_error("process start failed: " + command[0]);
}

Process::~Process() {
  if (reaped_) return;
  Signal(SIGKILL);
  Wait();
}

void Process::Signal(int signal) const { kill(pid_, signal); }

int Process::Wait() {
  int status = 0;
  waitpid(pid_, &status, 0);
  reaped_ = true;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/// The line of a process's status that begins with `name`; empty: none.
static std::string StatusLine(pid_t pid, const std::string& name) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line) && !line.starts_with(name)) {
  }
  return line;
}

std::string Process::State() const { return StatusLine(pid_, "State:"); }

std::int64_t Process::PeakMemoryMb() const {
  static const std::string kName = "VmHWM:";
  const std::string line = StatusLine(pid_, kName);
  return std::stoll(line.substr(kName.size())) / 1'024;
}

int Process::DescriptorCount() const {
  const std::filesystem::directory_iterator descriptors(
      "/proc/" + std::to_string(pid_) + "/fd");
  return static_cast<int>(std::distance(begin(descriptors), end(descriptors)));
}

std::optional<int> Process::TryWait() {
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  reaped_ = true;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

ProcessResult RunProgram(const std::vector<std::string>& command,
                         const std::string& output_file) {
  Process process(command, output_file);
  ProcessResult result;
  result.exit_code = process.Wait();
  std::ifstream file(output_file);
  std::stringstream text;
  text << file.rdbuf();
  result.output = text.str();
  return result;
}

}  // namespace basilspur::system_test
