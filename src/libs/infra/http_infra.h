#ifndef BASILSPUR_INFRA_HTTP_INFRA_H_
#define BASILSPUR_INFRA_HTTP_INFRA_H_

#include <memory>
#include <string>

#include "base/clock.h"
#include "infra/log_service.h"
#include "infra/vm_directory.h"
#include "infra/worker_service.h"
#include "net/asio.h"

namespace basilspur::infra {

/// Returns a client of a log service that uses HTTP with CBOR bodies. `timeout`
/// applies to each call; a read waits up to its `max_wait` longer.
std::unique_ptr<LogService> MakeHttpLogService(std::string address,
                                               Millis timeout);

/// Returns a client of a VM directory that uses HTTP with CBOR bodies.
/// `timeout` applies to each call.
std::unique_ptr<VmDirectory> MakeHttpVmDirectory(std::string address,
                                                 Millis timeout);

/// Returns a client of workers that use HTTP with CBOR bodies. `timeout`
/// applies to each call. Precondition: `context` outlives the result, which is
/// used only on the thread of `context`.
std::unique_ptr<WorkerService> MakeHttpWorkerService(
    net::asio::io_context& context, Millis timeout);

}  // namespace basilspur::infra

#endif  // BASILSPUR_INFRA_HTTP_INFRA_H_
