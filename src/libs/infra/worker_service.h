#ifndef BASILSPUR_INFRA_WORKER_SERVICE_H_
#define BASILSPUR_INFRA_WORKER_SERVICE_H_

#include <functional>
#include <string>

#include "base/result.h"
#include "infra/worker_messages.h"

namespace basilspur::infra {

/// Client of the platform's workers.
///
/// Thread safety: one thread at a time for each object.
class WorkerService {
 public:
  using Callback = std::function<void(Result<SyncReply>)>;

  virtual ~WorkerService() = default;

  /// Sends a message to the worker at `address`. `done` is called once, on the
  /// thread that runs the service. After an error the message may nevertheless
  /// have taken effect.
  virtual void Sync(const std::string& address, const SyncRequest& request,
                    Callback done) = 0;
};

}  // namespace basilspur::infra

#endif  // BASILSPUR_INFRA_WORKER_SERVICE_H_
