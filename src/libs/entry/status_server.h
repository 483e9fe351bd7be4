#ifndef BASILSPUR_ENTRY_STATUS_SERVER_H_
#define BASILSPUR_ENTRY_STATUS_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "metrics/registry.h"

namespace basilspur::entry {

/// The functions from which the status pages get their content. They are called
/// on the server's thread.
struct StatusCallbacks {
  /// Returns the reason why the entry is not ready; empty if it is ready.
  std::function<std::string()> not_ready_reason;
  /// Updates the gauges; called before each rendering of the metrics.
  std::function<void()> refresh_gauges;
};

/// Serves /healthz, /readyz and /metrics over HTTP on a thread of its own.
///
/// Thread safety: one thread at a time.
class StatusServer {
 public:
  /// Precondition: `metrics` outlives the server.
  StatusServer(metrics::Registry& metrics, StatusCallbacks callbacks);
  ~StatusServer();

  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

  /// Errors: kUnavailable if the address can't be bound.
  Status Start(const std::string& address);
  void Stop();

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace basilspur::entry

#endif  // BASILSPUR_ENTRY_STATUS_SERVER_H_
