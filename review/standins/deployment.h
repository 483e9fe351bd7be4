#ifndef BASILSPUR_REVIEW_DEPLOYMENT_H_
#define BASILSPUR_REVIEW_DEPLOYMENT_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "executor.h"
#include "record.h"
#include "standins/store_standin.h"

namespace review {

/// The answer to a call; status 0: none.
struct Answer {
  unsigned status = 0;
  std::string body;
};

/// Entries as separate processes, with the store and the executors in this
/// process.
class Deployment {
 public:
  Deployment(Record& record, int entries);
  ~Deployment();

  /// Adds an executor that is registered in the store. Returns its index.
  int AddExecutor(const std::string& service, int cpu, int mem_mb,
                  const std::string& kind = "a",
                  const std::string& rack = "r1-1");
  /// It crashes, and starts again under its id and address after `down`, as
  /// another kind. Its first check-in follows after `first_check_in`.
  void RestartExecutor(int index, const std::string& kind, Millis down,
                       Millis first_check_in);
  /// Its entry says `draining` from now on.
  void DrainExecutor(int index);
  /// Everything on it terminates; its entry is removed after
  /// `entry_removed_after`.
  void EndExecutor(int index, Millis entry_removed_after);
  /// Replaces the config.
  void PutConfig(const std::string& json);

  void StartEntry(int entry);
  void Kill(int entry);
  /// Returns once all entries are ready; false after 20 s.
  bool WaitUntilReady();
  /// The entry that last wrote an owner record to the store; -1: none.
  int Owner();

  /// Sends one request of a caller and waits for its answer.
  Answer Call(int entry, const std::string& method, const std::string& path,
              const std::string& body = "", Millis timeout = Millis(3'000));
  /// As a requester: sends again at another entry, up to `attempts` times,
  /// while there is no answer, 502, 503 or 504.
  Answer CallUntilAnswered(const std::string& method, const std::string& path,
                           const std::string& body, int attempts);
  std::string StateOf(const std::string& path);

  /// Runs a function on the thread of the stand-ins and waits for its end.
  void RunOnStandins(const std::function<void()>& function);

  Fleet fleet;
  basilspur::standins::StoreStandin store;
  /// Appends that were refused since a record was longer than record_bytes.
  int refused_long_records = 0;

 private:
  struct Member {
    std::unique_ptr<Executor> executor;
    std::string service;
    std::string rack;
    std::string address;
    int cpu = 0;
    int mem_mb = 0;
    std::string state = "ready";
    bool listed = true;
    int sequence = 0;
  };
  struct Entry {
    std::string front;
    std::string ready;
    std::string peers;
    pid_t pid = -1;
    int starts = 0;
  };

  net::asio::awaitable<net::HttpResponse> HandleStoreRequest(
      net::HttpRequest request);
  net::asio::awaitable<void> Heartbeats();
  net::asio::awaitable<void> Steps();
  net::asio::awaitable<void> Remove(int index, Millis delay);
  net::asio::awaitable<void> Restart(int index, std::string kind, Millis down,
                                     Millis first_check_in);
  void WriteMember(Member& member);

  Record& record_;
  net::asio::io_context context_;
  std::string folder_;
  std::string store_address_;
  std::vector<Member> members_;
  std::vector<Entry> entries_;
  /// Bytes of the newest record of keyed.owners.
  std::string newest_owner_record_;
  std::thread thread_;
};

}  // namespace review

#endif  // BASILSPUR_REVIEW_DEPLOYMENT_H_
