#ifndef BASILSPUR_SETTINGS_SETTINGS_H_
#define BASILSPUR_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <string>

namespace basilspur::settings {

/// The settings of an entry. Times are in milliseconds, sizes in bytes.
struct Settings {
  // Section `entry`.
  std::string entry_name;  ///< Unique among the entries of the cell.
  std::string data_center;
  std::string vm;  ///< The VM on which the entry runs.
  std::string cell = "cell-0";

  // Section `listen`: local addresses as IP:PORT.
  std::string callers_address;    ///< Accepts HTTP requests of callers.
  std::string operators_address;  ///< Accepts gRPC calls of operators.
  std::string links_address;      ///< Accepts connections of the other entries.
  std::string status_address;     ///< Serves health, readiness and metrics.

  // Section `platform`.
  std::string log_address;
  std::string vm_directory_address;
  /// Time-out of a call to the log, the VM directory or a worker.
  std::int64_t platform_timeout_ms = 2'000;
  /// Interval at which the list of VMs is read.
  std::int64_t vm_list_interval_ms = 1'000;
  /// A snapshot is written after this number of log entries or this time,
  /// whichever comes first.
  std::int64_t snapshot_interval_records = 20'000;
  std::int64_t snapshot_interval_ms = 600'000;

  // Section `lease`.
  std::int64_t lease_length_ms = 10'000;
  std::int64_t lease_renew_interval_ms = 1'000;
  /// Upper bound on the drift between two clocks over the length of a lease.
  std::int64_t clock_drift_ms = 1'000;

  // Section `limits`.
  std::int64_t max_header_bytes = 16 * 1024;
  std::int64_t max_body_bytes = 256LL * 1024 * 1024;
  std::int64_t header_timeout_ms = 10'000;
  std::int64_t body_idle_timeout_ms = 30'000;
  std::int64_t max_caller_connections = 20'000;
  /// While the entry stops: the time for which it still accepts requests, and
  /// closes the connection after each response.
  std::int64_t drain_grace_ms = 2'000;
  /// The time after `drain_grace_ms` for requests in progress to complete.
  std::int64_t drain_limit_ms = 60'000;

  std::string picker = "least-expected-delay";  ///< Load-balancing policy.
  std::string placement_profile = "tail";
  std::string log_level = "info";
};

}  // namespace basilspur::settings

#endif  // BASILSPUR_SETTINGS_SETTINGS_H_
