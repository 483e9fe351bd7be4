#ifndef BASILSPUR_OPERATORS_OPERATOR_SERVICE_H_
#define BASILSPUR_OPERATORS_OPERATOR_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "metrics/registry.h"
#include "records/specs.h"
#include "replica/log_writer.h"
#include "replica/replica.h"

namespace basilspur::operators {

/// The parts of an entry that the operators' calls read and change.
struct OperatorServiceDependencies {
  records::EntryRef self;
  replica::Replica& replica;
  replica::LogWriter& writer;
  const metrics::Registry& metrics;
  /// Returns why the end of a running job can't be determined at present; empty
  /// if it can.
  std::function<std::string(const std::string& job)> run_end_obstacle;
  /// Sets the gauges to their current values; called before they are read.
  std::function<void()> refresh_gauges;
  /// Returns the offset of the state by which callers are served.
  std::function<std::int64_t()> offset_in_force;
};

/// Implements the gRPC service `Operator` of schema/operator.proto.
///
/// Thread safety: any thread.
class OperatorService {
 public:
  /// Precondition: all objects that `deps` refers to outlive the service.
  explicit OperatorService(OperatorServiceDependencies deps);
  ~OperatorService();

  OperatorService(const OperatorService&) = delete;
  OperatorService& operator=(const OperatorService&) = delete;

  /// Binds the address and starts to serve calls on threads of the gRPC
  /// library.
  Status Start(const std::string& address);

  /// Rejects new calls, waits up to `timeout` for calls in progress and cancels
  /// the remaining ones.
  void Stop(Millis timeout);

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace basilspur::operators

#endif  // BASILSPUR_OPERATORS_OPERATOR_SERVICE_H_
