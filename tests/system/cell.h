#ifndef BASILSPUR_TESTS_SYSTEM_CELL_H_
#define BASILSPUR_TESTS_SYSTEM_CELL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http_message.h"
#include "system/process.h"

namespace basilspur::system_test {

/// One line of a worker's ledger: a change in the state of a run.
struct RunEvent {
  std::string job;
  std::int64_t run = 0;
  std::string type;
  std::int64_t at_ms = 0;
  std::int64_t progress_ms = 0;
  std::string vm;

  /// The change of the number of running tasks: 1 for the start of a run, -1
  /// for its end, otherwise 0.
  int RunningDelta() const;
};

/// The process of an entry and the addresses on which it listens.
struct EntryProcess {
  std::string name;
  std::string callers_address;
  std::string operators_address;
  std::string links_address;
  std::string status_address;
  std::string settings_file;
  std::unique_ptr<Process> process;
};

/// A cell whose entries run as separate processes on loopback, together with
/// stand-ins for the platform, the workers and the executors. The destructor
/// kills all processes and removes their files.
class Cell {
 public:
  /// Starts all processes and waits until the entries are ready.
  /// `extra_settings` are further YAML fields for the `platform` section of
  /// each entry's settings.
  Cell(int entry_count, int vm_count, int executor_count,
       const std::string& extra_settings = "");
  ~Cell();

  /// Starts or restarts an entry and does not wait until it is ready.
  void StartEntry(std::size_t index);
  void WaitUntilReady(std::size_t index);

  /// Publishes a service with all executors as targets, 8 slots each, and waits
  /// until it is in force on all entries.
  void PutService(const std::string& name);

  /// Runs the command line client of the operators against entry `index`.
  ProcessResult RunOperatorCommand(const std::vector<std::string>& arguments,
                                   std::size_t index = 0);

  /// Calls a stand-in or an entry over HTTP. The status is 0 if no response
  /// arrives within the time-out.
  net::HttpResponse Call(const std::string& address, const std::string& method,
                         const std::string& target,
                         const std::map<std::string, std::string>& headers = {},
                         const std::string& body = "",
                         std::int64_t timeout_ms = 20'000);

  /// Sends a control request to the stand-in of the platform.
  net::HttpResponse ControlPlatform(const std::string& target) {
    return Call(platform_address, "GET", target);
  }

  /// The ledgers of all workers, ordered by time.
  std::vector<RunEvent> Ledger();

  /// Returns the first job of which two runs overlapped in time, or an empty
  /// string if there is none.
  std::string FindJobWithOverlappingRuns();

  /// The number of events of a type for a job on all workers.
  int CountEvents(const std::string& job, const std::string& type);

  /// The number of times that executors started a request with this id.
  int CountExecutions(const std::string& id);

  /// The phase of a job as reported by entry `index`; empty if unknown.
  std::string PhaseOf(const std::string& job, std::size_t index = 0);

  std::string platform_address;
  std::vector<std::string> worker_addresses;
  std::vector<std::string> executor_addresses;
  std::vector<EntryProcess> entries;

 private:
  /// Starts a stand-in and returns its address.
  std::string StartStandin(const std::string& program, const std::string& name);

  std::string directory_;
  std::string extra_settings_;
  std::vector<std::unique_ptr<Process>> standins_;
  int output_file_count_ = 0;
};

/// Polls until the condition holds. Returns false if it does not hold within a
/// minute.
bool Eventually(const std::function<bool()>& condition);

}  // namespace basilspur::system_test

#endif  // BASILSPUR_TESTS_SYSTEM_CELL_H_
