#ifndef BASILSPUR_REVIEW_STANDINS_2_SMALL_DEPLOYMENT_H_
#define BASILSPUR_REVIEW_STANDINS_2_SMALL_DEPLOYMENT_H_

#include <cstdint>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/http_message.h"
#include "system/process.h"

namespace basilspur::review {

/// A small deployment on loopback: a stand-in of the store, executors of one
/// service, and entries that the deploy file's command starts, each a separate
/// process. The destructor ends all of them.
///
/// Thread safety: one thread.
class SmallDeployment {
 public:
  struct Executor {
    std::string id;
    std::string address;
    std::string rack;
    int lifetime = 0;
    std::unique_ptr<system_test::Process> process;
  };
  struct Answer {
    unsigned status = 0;  ///< 0: none.
    std::string body;
  };

  /// `routes` is the list of routes in the config. Executors have `cpu_millis`
  /// each. Throws if not all entries are ready within 15 s.
  /// With `last_alone` the last executor has the rack "alone" to itself.
  SmallDeployment(int entries, int executors, int cpu_millis,
                  const nlohmann::json& routes, bool last_alone = false);
  ~SmallDeployment();

  /// Calls an entry as a requester and records the call and its answer.
  Answer Call(int entry, const std::string& method, const std::string& path,
              const std::string& body = "");
  /// The state that an entry shows; empty: none.
  std::string StateOf(int entry, const std::string& path);
  /// Kills the process of an executor, whose store entry stays for now.
  void Crash(int executor);
  /// Starts the next lifetime of an executor at its address, under a new id,
  /// and removes the entry of the former one.
  void Restart(int executor);
  /// The entry that last became ready as owner, by the entries' logs; -1: none.
  int FindOwner() const;
  /// Stops or continues the process of an entry.
  void SetFrozen(int entry, bool frozen);
  int FrozenEntry() const { return frozen_entry_; }  ///< -1: none.
  /// Makes an executor refuse starts as unhealthy, or ends that.
  void SetSick(int executor, bool sick);
  /// Writes a line to the record.
  void Note(const std::string& line);
  /// What the executors have written so far, one line each: the time in Unix
  /// ms, the executor, and "started TASK run N" or "ended TASK run N HOW".
  std::vector<std::string> RunLines() const;
  std::vector<Executor>& Executors() { return executors_; }
  const std::string& Folder() const { return folder_; }

 private:
  void StartExecutor(Executor& executor);
  void StartEntry(int entry);
  Answer Send(const std::string& address, net::HttpRequest request);

  std::string folder_;
  std::string runs_path_;
  int cpu_millis_;
  int frozen_entry_ = -1;
  std::ofstream record_;
  std::string store_address_;
  std::unique_ptr<system_test::Process> store_;
  std::vector<Executor> executors_;
  struct Entry {
    std::string front;
    std::string ready;
    std::string ip;
    int port = 0;
    std::unique_ptr<system_test::Process> process;
  };
  std::vector<Entry> entries_;
};

/// Sleeps on the real clock.
void SleepMs(std::int64_t ms);

/// Whether the disruption is to be left out: TROUBLE=0 in the environment.
bool WithoutTrouble();

/// Runs a case and returns the exit code of its program: what `run` returns,
/// or 2 if it throws.
int RunCase(int (*run)());

}  // namespace basilspur::review

#endif  // BASILSPUR_REVIEW_STANDINS_2_SMALL_DEPLOYMENT_H_
