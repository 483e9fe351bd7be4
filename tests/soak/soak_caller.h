#ifndef BASILSPUR_TESTS_SOAK_SOAK_CALLER_H_
#define BASILSPUR_TESTS_SOAK_SOAK_CALLER_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "soak/call_ledger.h"
#include "system/caller_connection.h"

namespace basilspur::soak {

/// Submits jobs, asks for their states, cancels some and counts queues, at
/// random entries. Connections stay open and in use until the entry announces
/// that it closes them or its process is gone.
///
/// Thread safety: one thread at a time; `ledger` is shared.
class SoakCaller {
 public:
  /// `addresses`: of the entries. `number` distinguishes the callers of a run.
  SoakCaller(std::vector<std::string> addresses, std::uint64_t seed, int number,
             CallLedger& ledger);

  /// Sends requests, one after the other, until `stopped`.
  void Run(const std::atomic<bool>& stopped);

 private:
  struct Request {
    std::string method;
    std::string path;
    std::string body;
  };

  int Between(int low, int high);
  void SubmitJob();
  void CallAboutJob(const std::string& method);
  /// Tries the request at one entry after the other, until one succeeds or the
  /// caller's time limit is over, and returns the status of each attempt.
  std::vector<unsigned> Send(const Request& request);
  /// Sends the request once. Returns nothing if no connection is possible.
  std::optional<unsigned> Attempt(const Request& request, Millis limit);

  std::vector<std::string> addresses_;
  int number_;
  std::uint64_t seed_;
  CallLedger& ledger_;
  std::mt19937_64 random_;
  SystemClock clock_;
  std::map<int, std::unique_ptr<system_test::CallerConnection>> connections_;
  std::vector<std::string> accepted_;
  int submitted_ = 0;
};

}  // namespace basilspur::soak

#endif  // BASILSPUR_TESTS_SOAK_SOAK_CALLER_H_
