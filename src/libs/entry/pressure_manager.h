#ifndef BASILSPUR_ENTRY_PRESSURE_MANAGER_H_
#define BASILSPUR_ENTRY_PRESSURE_MANAGER_H_

#include <functional>
#include <optional>
#include <span>
#include <string>

#include "base/clock.h"
#include "infra/worker_messages.h"
#include "interference/interference_model.h"
#include "interference/pressure_monitor.h"
#include "interference/profile.h"
#include "lease/vm_view.h"
#include "link/messages.h"
#include "metrics/registry.h"

namespace basilspur::entry {

/// Controls the slowdown of services on the VMs that an entry owns, and sends
/// estimates of interference to its peers.
///
/// Thread safety: one thread at a time.
class PressureManager {
 public:
  using SendToPeers = std::function<void(const link::Message& message)>;

  /// `send_to_peers` sends a message to all peers that are up. Precondition:
  /// `model`, `profile` and `metrics` outlive the object.
  PressureManager(const interference::Profile& profile,
                  interference::InterferenceModel& model,
                  metrics::Registry& metrics, SendToPeers send_to_peers);

  /// Updates the services and runs on a VM. Has to be called on each change.
  void OnView(const lease::VmView& view, Millis now);

  /// Processes a worker's reports. Returns the run to evict now, if any.
  /// Precondition: OnView() was called for the VM.
  std::optional<records::RunRef> OnReports(
      const lease::VmView& view, std::span<const infra::RunReport> reports,
      Millis now);

  bool IsThrottled(const std::string& vm, const records::RunRef& run) const;

  /// Removes the state of a VM that this entry no longer owns.
  void RemoveVm(const std::string& vm) { monitor_.RemoveVm(vm); }

  /// Sends changed estimates to peers if the exchange interval has passed.
  void Step(Millis now);

 private:
  interference::InterferenceModel& model_;
  metrics::Registry& metrics_;
  const SendToPeers send_to_peers_;
  interference::PressureMonitor monitor_;
  Millis last_exchange_;
  Millis last_full_exchange_;
};

}  // namespace basilspur::entry

#endif  // BASILSPUR_ENTRY_PRESSURE_MANAGER_H_
