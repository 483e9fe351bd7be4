#ifndef BASILSPUR_TOOLS_BASILSPUR_BENCH_REQUEST_BENCH_H_
#define BASILSPUR_TOOLS_BASILSPUR_BENCH_REQUEST_BENCH_H_

#include <cstdint>
#include <string>

namespace basilspur::bench {

/// One simulation of the routing of requests.
struct RequestScenario {
  /// "basilspur", "ideal" or the name of a target picker. "ideal" is one queue
  /// in front of all slots; the faults of the first target do not apply to it.
  std::string policy;
  double load = 0.8;  ///< As a fraction of the capacity of all slots.
  /// Share of the requests that is sent to the first entry; the rest is spread
  /// evenly over all entries.
  double first_entry_share = 0;
  /// Factor by which the service times of the first target are longer.
  double slow_target_factor = 1;
  bool down_target = false;  ///< The first target refuses connections.
  /// The first target accepts requests and never answers.
  bool unresponsive_target = false;
  /// The first target refuses connections for two seconds of every four.
  bool flapping_target = false;
  bool entry_fails = false;  ///< The last entry ends after 15 s.
  /// Factor by which the load is higher for five seconds, from 15 s on.
  double spike_factor = 1;
  /// Callers resend a request up to twice if it is refused or not answered.
  bool callers_resend = false;
  int targets = 50;
  std::uint64_t seed = 1;
};

/// The results from the point of view of the callers. Latencies are in
/// milliseconds, from the arrival of a request at an entry to its answer. All
/// other values are shares of the requests, unless stated otherwise.
struct RequestResults {
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
  /// Requests that were answered within the deadline, as a share of the number
  /// that the slots can serve.
  double goodput = 0;
  double refused_share = 0;
  double late_share = 0;    ///< Requests that were answered after the deadline.
  double failed_share = 0;  ///< Requests that failed with an error.
  /// Share of the requests first sent in the final window (ten seconds) of
  /// which some send was answered within the time-out of the caller. Shows
  /// whether the system has recovered from a fault.
  double final_window_served_share = 0;
};

RequestResults RunRequestScenario(const RequestScenario& scenario);

}  // namespace basilspur::bench

#endif  // BASILSPUR_TOOLS_BASILSPUR_BENCH_REQUEST_BENCH_H_
