#ifndef BASILSPUR_TESTS_SOAK_CALL_LEDGER_H_
#define BASILSPUR_TESTS_SOAK_CALL_LEDGER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"

namespace basilspur::soak {

/// What callers know of a job that they have submitted.
struct SubmittedJob {
  enum class Reply { kAccepted, kRefused, kInDoubt };

  int tasks = 0;
  Reply reply = Reply::kInDoubt;
  bool cancelled = false;  ///< A cancellation was sent, with any result.
};

/// What all callers of a run have seen.
///
/// Thread safety: any thread.
class CallLedger {
 public:
  void AddJob(const std::string& job, SubmittedJob submitted);
  /// Call before the cancellation is sent.
  void MarkCancelled(const std::string& job);
  /// `took`: with all attempts.
  void CountRequest(bool served, Millis took);
  /// Counts an attempt's status, 0 without one.
  void CountAttempt(unsigned status);
  /// A request that ended with its connection, without an answer.
  void AddCut(const std::string& description);

  // Precondition: the callers have ended.
  const std::map<std::string, SubmittedJob>& Jobs() const { return jobs_; }
  const std::vector<std::string>& Cuts() const { return cuts_; }
  const std::map<unsigned, int>& Attempts() const { return attempts_; }
  int Requests() const { return requests_; }
  int Served() const { return served_; }
  /// The time within which this share of the served requests was served.
  Millis ServedWithin(int percent) const;

 private:
  std::mutex mutex_;
  std::map<std::string, SubmittedJob> jobs_;
  std::vector<std::string> cuts_;
  std::map<unsigned, int> attempts_;
  int requests_ = 0;
  int served_ = 0;
  std::vector<std::int64_t> times_ms_;  ///< Of served requests.
};

}  // namespace basilspur::soak

#endif  // BASILSPUR_TESTS_SOAK_CALL_LEDGER_H_
