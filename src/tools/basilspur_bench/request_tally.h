#ifndef BASILSPUR_TOOLS_BASILSPUR_BENCH_REQUEST_TALLY_H_
#define BASILSPUR_TOOLS_BASILSPUR_BENCH_REQUEST_TALLY_H_

#include <cstdint>
#include <vector>

#include "request_bench.h"

namespace basilspur::bench {

/// The part of a simulation that is measured. Times are in microseconds.
struct MeasurementWindow {
  std::int64_t begin = 0;
  std::int64_t end = 0;
  /// Time-out of a request, counted from its arrival at an entry.
  std::int64_t deadline = 0;
  /// Length of the final window; see RequestResults. The window ends one
  /// deadline before `end`, so that the first sends in it can still be
  /// answered.
  std::int64_t final_length = 0;
  /// Total time that a caller waits for an answer, counted from the first send.
  std::int64_t caller_timeout = 0;
};

/// Counts the outcomes of requests and computes the results. Times are in
/// microseconds.
class RequestTally {
 public:
  explicit RequestTally(const MeasurementWindow& window) : window_(window) {}

  void RecordArrival(std::int64_t now);
  void RecordRefusal(std::int64_t now);
  void RecordFailure(std::int64_t now);
  /// `first_sent_at` is the time at which the caller first sent the request.
  void RecordAnswer(std::int64_t now, std::int64_t arrived_at,
                    std::int64_t first_sent_at);

  /// `capacity` is the number of requests that the slots can serve in the
  /// measured time.
  RequestResults ComputeResults(double capacity);

 private:
  bool IsInFinalWindow(std::int64_t arrived_at) const;

  const MeasurementWindow window_;
  std::vector<double> latencies_ms_;
  std::int64_t arrived_ = 0;
  std::int64_t refused_ = 0;
  std::int64_t failed_ = 0;
  std::int64_t answered_in_time_ = 0;
  std::int64_t arrived_in_final_window_ = 0;
  std::int64_t served_in_final_window_ = 0;
};

}  // namespace basilspur::bench

#endif  // BASILSPUR_TOOLS_BASILSPUR_BENCH_REQUEST_TALLY_H_
