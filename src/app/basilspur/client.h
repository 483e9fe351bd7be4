#ifndef BASILSPUR_APP_BASILSPUR_CLIENT_H_
#define BASILSPUR_APP_BASILSPUR_CLIENT_H_

#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "operator.grpc.pb.h"

namespace basilspur::cli {

/// Calls the gRPC service `Operator` of the first reachable entry.
///
/// Thread safety: one thread at a time.
class Client {
 public:
  using Stub = v1::Operator::Stub;

  /// Precondition: `addresses` is not empty. `timeout_ms` is the time-out of a
  /// call to one entry. The connect time-out is a share of it: `timeout_ms`
  /// divided by the number of addresses plus one.
  Client(std::vector<std::string> addresses, std::int64_t timeout_ms);

  /// Runs `call` for one entry after the other while the status is UNAVAILABLE.
  /// Any other status is returned without a further attempt, since the entry
  /// may have carried out the call.
  grpc::Status Call(
      const std::function<grpc::Status(Stub&, grpc::ClientContext&)>& call);

  std::int64_t TimeoutMillis() const { return timeout_ms_; }

 private:
  std::vector<std::string> addresses_;
  std::int64_t timeout_ms_;
};

}  // namespace basilspur::cli

#endif  // BASILSPUR_APP_BASILSPUR_CLIENT_H_
