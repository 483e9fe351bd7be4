#ifndef BASILSPUR_TESTS_SYSTEM_PLATFORM_CELL_H_
#define BASILSPUR_TESTS_SYSTEM_PLATFORM_CELL_H_

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standins/store_standin.h"
#include "standins/worker_standin.h"
#include "system/process.h"

namespace basilspur::system_test {

/// Entries for the users' platform as real processes, against stand-ins of
/// its store and its executors in this process.
class PlatformCell {
 public:
  /// With several cells, workers are dealt to them in turn, and jobs of
  /// `cells` to their own by their ids.
  PlatformCell(int entries, int workers, int cells = 1);
  ~PlatformCell();

  /// Starts an entry, or starts it again.
  void StartEntry(int entry);
  void Signal(int entry, int signal) { entries_[entry]->Signal(signal); }
  int Wait(int entry) { return entries_[entry]->Wait(); }
  bool IsReady(int entry);
  /// Throws if not all entries are ready within 10 s.
  void WaitUntilReady();

  /// The status of the answer to a call on a job; 0 without an answer.
  unsigned Call(int entry, const std::string& method, const std::string& path,
                const std::string& body = "");
  /// A job of one step with `count` tasks that work for `payload` ms each.
  unsigned Submit(int entry, const std::string& job, int count,
                  const std::string& payload);
  std::string StateOf(int entry, const std::string& job);
  /// False if the job is not shown so within `patience`.
  bool WaitForState(int entry, const std::string& job, const std::string& state,
                    Millis patience = Millis(10'000));
  /// The entry that owns the cell, as its log says; -1: none.
  int OwnerOf();
  /// Lines that the entries have logged, with `text` in them.
  int CountLogged(const std::string& text) const;

  standins::StoreStandin store;
  std::vector<std::unique_ptr<standins::WorkerStandin>> workers;
  std::map<std::string, standins::TaskHistory> histories;

 private:
  void ListWorkers();
  void FixLayout();
  std::string LogOf(int entry) const;

  int cells_;
  net::asio::io_context context_;
  std::string store_address_;
  std::vector<std::string> worker_addresses_;
  std::string folder_;
  struct Addresses {
    std::string front;
    std::string ready;
    std::string peers;
  };
  std::vector<Addresses> addresses_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::thread thread_;
};

}  // namespace basilspur::system_test

#endif  // BASILSPUR_TESTS_SYSTEM_PLATFORM_CELL_H_
