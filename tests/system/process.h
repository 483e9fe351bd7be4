#ifndef BASILSPUR_TESTS_SYSTEM_PROCESS_H_
#define BASILSPUR_TESTS_SYSTEM_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace basilspur::system_test {

/// A child process. The destructor kills it if Wait() was not called.
class Process {
 public:
  /// Starts a program. Its standard output and standard error are written to
  /// `output_file`.
  Process(const std::vector<std::string>& command,
          const std::string& output_file);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;

  /// Waits until the process ends. Returns its exit code, or -1 if it was ended
  /// by a signal.
  int Wait();
  /// The operating system's line on the state of the process, such as
  /// "State: S (sleeping)". Precondition: as TryWait().
  std::string State() const;
  /// The most resident memory so far. Precondition: as TryWait().
  std::int64_t PeakMemoryMb() const;
  /// Number of open descriptors. Precondition: as TryWait().
  int DescriptorCount() const;
  /// As Wait(), but returns nothing while the process runs. Precondition: the
  /// end has not been returned yet.
  std::optional<int> TryWait();

 private:
  pid_t pid_ = -1;
  bool reaped_ = false;
};

/// The exit code and the whole output of a process that has ended.
struct ProcessResult {
  int exit_code = 0;
  std::string output;
};

/// Runs a program and waits until it ends.
ProcessResult RunProgram(const std::vector<std::string>& command,
                         const std::string& output_file);

}  // namespace basilspur::system_test

#endif  // BASILSPUR_TESTS_SYSTEM_PROCESS_H_
