#ifndef BASILSPUR_REVIEW_STANDINS_3_DEPLOYMENT_H_
#define BASILSPUR_REVIEW_STANDINS_3_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standins/store_standin.h"
#include "worker.h"
#include "world.h"

namespace review {

struct Answer {
  unsigned status = 0;  ///< 0: none in time.
  std::string body;
};

struct DeploymentOptions {
  int entries = 3;
  int workers = 66;
  int workers_a_rack = 8;
  int memory_mb = 260;
  /// The platform kills a process that exceeds `memory_mb`.
  bool kill_over_memory = false;
  std::int64_t hold_max_ms = 10'000;
  /// Executors say when they were born, and start again under their ids.
  bool name_births = false;
};

/// A small deployment on loopback addresses: entries as separate processes,
/// started by the command of the deploy file, and stand-ins of the platform and
/// the executors in this process.
///
/// Thread safety: Call and Signal on any thread.
class Deployment {
 public:
  Deployment(World& world, DeploymentOptions options);
  ~Deployment();

  /// Waits until all entries are ready. Throws after 20 s.
  void WaitUntilReady();
  /// Sends a request of a requester to an entry and waits for the answer.
  Answer Call(int entry, const std::string& method, const std::string& path,
              const std::string& body, int timeout_ms);
  /// An entry that the platform would choose: in rotation, if any is.
  int ChooseEntry();
  void Signal(int entry, int signal);
  /// Starts an entry that has ended.
  void Restart(int entry);
  int Entries() const { return options_.entries; }
  /// Of all executors, in thousandths of a core.
  std::int64_t Cpu() const { return options_.workers * Worker::kCpu; }
  /// Ends of processes that the platform caused for memory, of each entry.
  int KillsForMemory(int entry) const { return entries_[entry]->kills; }
  std::int64_t PeakMemoryMb(int entry) const {
    return entries_[entry]->peak_mb;
  }
  /// Runs a function on the thread of the stand-ins and waits for its end.
  void RunOnStandins(const std::function<void()>& function);
  void Publish(int worker, const std::string& state);

  basilspur::standins::StoreStandin store;
  std::vector<std::unique_ptr<Worker>> workers;

 private:
  struct Entry {
    std::string front;
    std::string ready;
    std::string control;
    std::string ip;
    int peer_port = 0;
    std::string settings_path;
    std::string log_path;
    std::mutex mutex;
    pid_t pid = -1;
    int misses = 0;
    std::atomic<bool> in_rotation = true;
    std::atomic<int> kills = 0;
    std::atomic<std::int64_t> peak_mb = 0;
    std::int64_t restart_at = 0;
  };

  void Start(int entry);
  void WriteSettings(int entry);
  void PollReadiness();
  void WatchProcesses();
  basilspur::net::asio::awaitable<void> TickWorkers();

  World& world_;
  DeploymentOptions options_;
  std::string folder_;
  std::string store_address_;
  std::vector<std::string> worker_addresses_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::atomic<bool> stopping_ = false;
  std::atomic<unsigned> next_ = 0;
  basilspur::net::asio::io_context context_;
  std::vector<std::thread> threads_;
};

/// What one requester does for one job.
struct JobRequest {
  std::string id;
  std::string path;
  Json body;
  bool accepted = false;
  std::int64_t accepted_at = 0;
};

/// Hands a job in, with up to 5 attempts.
void Submit(World& world, Deployment& deployment, JobRequest& job);
/// Asks for a job's state, at each entry in turn, for up to 3 s each.
std::string AskState(World& world, Deployment& deployment,
                     const JobRequest& job);
std::string MakeId(int number);

}  // namespace review

#endif  // BASILSPUR_REVIEW_STANDINS_3_DEPLOYMENT_H_
