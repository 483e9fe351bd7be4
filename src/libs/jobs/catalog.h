#ifndef BASILSPUR_JOBS_CATALOG_H_
#define BASILSPUR_JOBS_CATALOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basilspur::jobs {

/// A queue that callers submit jobs to.
struct QueueConfig {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;  ///< The service whose VMs run the queue's tasks.
  int priority = 0;     ///< 0 is the most urgent.
  /// Number of failed runs of a task after which its job fails. For a gang, the
  /// failed runs of all its tasks are counted together. Long-running tasks
  /// never fail their job.
  int attempts = 1;
  /// A job's latency objective is `objective_factor` times the duration of its
  /// longest chain of runs, plus `slack_ms`.
  double objective_factor = 1;
  std::int64_t slack_ms = 0;
};

/// A service: a pool of VMs.
struct ServiceConfig {
  std::string name;
  bool enforces_capacity = false;
  bool standby = false;  ///< Its VMs are powered off.
};

/// The part of the operators' current configuration that concerns jobs.
///
/// Thread safety: a plain value.
struct Catalog {
  std::int64_t version = -1;  ///< -1: no configuration has been read yet.
  std::vector<QueueConfig> queues;
  std::vector<ServiceConfig> services;
  std::int64_t max_body_bytes = 1 << 20;

  /// Returns null if there is no queue of that name.
  const QueueConfig* FindQueue(std::string_view name) const {
    for (const QueueConfig& queue : queues) {
      if (queue.name == name) return &queue;
    }
    return nullptr;
  }

  /// Returns the queue on `host` with the longest prefix of `path`; null if
  /// none matches.
  const QueueConfig* Route(std::string_view host, std::string_view path) const {
    const QueueConfig* best = nullptr;
    for (const QueueConfig& queue : queues) {
      if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
      if (best && best->path_prefix.size() >= queue.path_prefix.size()) {
        continue;
      }
      best = &queue;
    }
    return best;
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_CATALOG_H_
