#ifndef BASILSPUR_CELL_VM_CLIENT_H_
#define BASILSPUR_CELL_VM_CLIENT_H_

#include <cstdint>
#include <string>
#include <variant>

#include "base/clock.h"
#include "jobs/run_command.h"
#include "jobs/vm_listing.h"
#include "jobs/vm_report.h"
#include "net/asio.h"

namespace basilspur::cell {

/// Extends the lease of all runs of a VM and asks what it has.
struct Renewal {
  std::int64_t fencing_token = 0;
  std::int64_t deadline_ms = 0;   ///< On the VM's clock; 0: not extended.
  std::int64_t acknowledged = 0;  ///< Ends up to this one may be forgotten.
  Millis wait;                    ///< For an end, before the answer.
};

enum class RenewalFailure {
  kStaleToken,  ///< A newer owner has given orders to the VM.
  kRestarted,   ///< The VM has restarted since.
  kNoAnswer,
};

using RenewalAnswer = std::variant<jobs::VmReport, RenewalFailure>;

struct CommandAnswer {
  jobs::RunCommandOutcome outcome = jobs::RunCommandOutcome::kUnknown;
  std::int64_t clock_ms = 0;  ///< The VM's; 0: not said.
};

/// The platform's VMs.
///
/// Thread safety: only from the thread of its io_context.
class VmClient {
 public:
  virtual ~VmClient() = default;

  virtual net::asio::awaitable<RenewalAnswer> Renew(jobs::VmListing vm,
                                                    Renewal renewal) = 0;

  /// `deadline_ms` is that of the lease, for starts.
  virtual net::asio::awaitable<CommandAnswer> Send(
      jobs::VmListing vm, jobs::RunCommand command, std::int64_t fencing_token,
      std::int64_t deadline_ms) = 0;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_VM_CLIENT_H_
