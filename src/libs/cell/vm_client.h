#ifndef BASILSPUR_CELL_VM_CLIENT_H_
#define BASILSPUR_CELL_VM_CLIENT_H_

#include <cstdint>
#include <string>
#include <variant>

#include "base/clock.h"
#include "jobs/known_worker.h"
#include "jobs/run_command.h"
#include "jobs/vm_listing.h"
#include "jobs/vm_report.h"
#include "net/asio.h"

namespace basilspur::cell {

/// Extends the lease of all runs of a VM and requests a report of its runs. On
/// a connection that may lead to another lifetime of the VM's worker, only the
/// report is requested.
struct Renewal {
  std::int64_t fencing_token = 0;
  /// New deadline on the VM's clock. 0 does not extend the lease.
  std::int64_t deadline_ms = 0;
  /// The VM may discard reported ends up to this number.
  std::int64_t acknowledged_end = 0;
  /// How long the VM may wait for the end of a run before it answers.
  Millis max_wait;
};

enum class RenewalFailure {
  kStaleToken,    ///< The VM has accepted a newer owner's token.
  kRestarted,     ///< The VM has restarted since it was listed.
  kDisconnected,  ///< The VM closed or refused the connection.
  kNoAnswer,      ///< Nothing came back in time, or nothing that is valid.
};

using RenewalAnswer = std::variant<jobs::VmReport, RenewalFailure>;

/// With what a command is sent, and to which lifetime of the VM's worker.
struct CommandContext {
  std::int64_t fencing_token = 0;
  /// The lease's deadline on the worker's clock, for starts only.
  std::int64_t deadline_ms = 0;
  /// A start is not sent to another one, whose clock would read the deadline as
  /// far ahead.
  jobs::KnownWorker worker;
};

struct CommandAnswer {
  jobs::RunCommandOutcome outcome = jobs::RunCommandOutcome::kUnknown;
  std::int64_t clock_ms = 0;  ///< The VM's clock; 0 if not reported.
};

/// Sends renewals and commands to the platform's VMs.
///
/// Thread safety: only from the thread of its io_context.
class VmClient {
 public:
  virtual ~VmClient() = default;

  virtual net::asio::awaitable<RenewalAnswer> Renew(jobs::VmListing vm,
                                                    Renewal renewal) = 0;

  virtual net::asio::awaitable<CommandAnswer> Send(jobs::VmListing vm,
                                                   jobs::RunCommand command,
                                                   CommandContext context) = 0;

  /// Closes the connections to the address, so that other entries can use the
  /// limited number that a VM accepts. Later calls open new ones.
  virtual void Disconnect(const std::string& address) = 0;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_VM_CLIENT_H_
