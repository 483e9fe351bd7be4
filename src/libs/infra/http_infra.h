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

/// The adapter to a log service that speaks HTTP with CBOR bodies.
/// `timeout` bounds each call, in milliseconds.
std::unique_ptr<LogService> MakeHttpLogService(std::string address,
                                               Millis timeout);

/// The adapter to a VM list that speaks HTTP with CBOR bodies.
std::unique_ptr<VmDirectory> MakeHttpVmDirectory(std::string address,
                                                 Millis timeout);

/// The adapter to workers that speak HTTP with CBOR bodies. Precondition:
/// `context` outlives the result, which is used only on its thread.
std::unique_ptr<WorkerService> MakeHttpWorkerService(
    net::asio::io_context& context, Millis timeout);

}  // namespace basilspur::infra

#endif  // BASILSPUR_INFRA_HTTP_INFRA_H_
