#ifndef BASILSPUR_TESTS_SYSTEM_PLATFORM_DEPLOYMENT_H_
#define BASILSPUR_TESTS_SYSTEM_PLATFORM_DEPLOYMENT_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "cell/peer_messages.h"
#include "net/http_client.h"
#include "standins/store_standin.h"
#include "standins/worker_standin.h"
#include "system/process.h"

namespace basilspur::system_test {

/// Runs entries for the users' platform as separate processes, against
/// stand-ins for its store and its executors in this process.
class PlatformDeployment {
 public:
  /// With several cells, workers are assigned to them in turn, and each job has
  /// its home cell by its id. `relay_peers`: entries call each other through
  /// this process, so that they can be cut off from each other. `more_settings`
  /// are further tables of the entries' settings.
  PlatformDeployment(int entries, int workers, int cells = 1,
                     bool relay_peers = false, std::string more_settings = "");
  ~PlatformDeployment();

  /// Starts an entry, or restarts one that has exited. `grace_s` is the
  /// termination grace in its settings.
  void StartEntry(int entry, const std::string& grace_s = "4");
  void Signal(int entry, int signal) { entries_[entry]->Signal(signal); }
  int WaitForExit(int entry) { return entries_[entry]->Wait(); }
  /// See Process::TryWait.
  std::optional<int> TryWaitForExit(int entry) {
    return entries_[entry]->TryWait();
  }
  /// What the operating system says of a process that runs.
  std::string ProcessState(int entry) { return entries_[entry]->State(); }
  bool IsReady(int entry);
  /// Throws if not all entries are ready within 10 s.
  void WaitUntilReady();

  const std::string& CallerAddress(int entry) const {
    return addresses_[entry].caller_api;
  }
  const std::string& ReadinessAddress(int entry) const {
    return addresses_[entry].readiness;
  }
  const std::string& PeerAddress(int entry) const {
    return addresses_[entry].peers;
  }
  /// The most memory that the entry's process has had so far.
  std::int64_t PeakMemoryMb(int entry) const {
    return entries_[entry]->PeakMemoryMb();
  }
  /// Number of descriptors that the entry's process has open.
  int DescriptorCount(int entry) const {
    return entries_[entry]->DescriptorCount();
  }
  bool IsServingMetrics(int entry);
  /// Sends `text` on a connection, and reads what comes back meanwhile. Ends
  /// with the connection, or once nothing comes any more.
  static void Exchange(const std::string& address, const std::string& text);
  /// Sends a request as another entry would. An entry that ends the connection
  /// without a response leaves the request in doubt.
  cell::JobReply CallAsPeer(int entry, const cell::JobRequest& request);
  /// The HTTP status of a call on the callers' interface; 0 without a response.
  unsigned Call(int entry, const std::string& method, const std::string& path,
                const std::string& body = "");
  /// Submits a job of one step with `count` tasks that take `payload` ms each,
  /// and returns the HTTP status.
  unsigned Submit(int entry, const std::string& job, int count,
                  const std::string& payload);
  /// The state that an entry reports; empty without a state.
  std::string JobStateOf(int entry, const std::string& job);
  /// False if the entry does not report `state` within `timeout`.
  bool WaitForJobState(int entry, const std::string& job,
                       const std::string& state,
                       Millis timeout = Millis(10'000));
  /// The first entry that owns a cell according to its log; -1 if there is
  /// none.
  int FindOwner();
  /// Whether the entry's present or last process has written a line. Until then
  /// it has not reached its own code.
  bool HasLogged(int entry) const;
  /// How often `text` occurs in the logs of all entries since their last
  /// starts.
  int CountInLogs(const std::string& text) const;
  /// Holds the log of each process that was started, one file each. It stays
  /// after the destruction, unless the caller removes it.
  const std::string& LogFolder() const { return temporary_folder_; }
  /// Whether the entry's calls to the store, and other entries' calls to the
  /// entry, are lost, as are the responses to those that wait. Precondition:
  /// peers are relayed.
  void SetCutOff(int entry, bool cut);
  /// Runs a function on the thread of the stand-ins and waits for its end.
  void RunOnStandins(const std::function<void()>& function);

  standins::StoreStandin store;
  std::vector<std::unique_ptr<standins::WorkerStandin>> workers;
  std::map<std::string, standins::TaskHistory> histories;

 private:
  net::asio::awaitable<net::HttpResponse> ServeStore(int entry,
                                                     net::HttpRequest request);
  /// Passes on what another entry calls.
  net::asio::awaitable<net::HttpResponse> ServePeer(int entry,
                                                    net::HttpRequest request);
  void PublishWorkerEntries();
  void PublishLayout();
  std::string LogPath(int entry) const;
  std::string ReadLog(int entry) const;

  int cells_;
  std::string more_settings_;
  net::asio::io_context context_;
  net::HttpClient peer_client_;
  std::vector<std::string> store_addresses_;  ///< By entry.
  std::set<int> cut_off_;  ///< On the thread of the stand-ins.
  std::vector<std::string> worker_addresses_;
  std::string temporary_folder_;
  struct Addresses {
    std::string caller_api;
    std::string readiness;
    std::string peers;
    std::string peers_relay;  ///< Empty if other entries call directly.
  };
  std::vector<Addresses> addresses_;
  std::vector<std::unique_ptr<Process>> entries_;
  std::vector<int> starts_;  ///< By entry.
  std::thread thread_;
};

}  // namespace basilspur::system_test

#endif  // BASILSPUR_TESTS_SYSTEM_PLATFORM_DEPLOYMENT_H_
