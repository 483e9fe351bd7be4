#ifndef TESTS_SIM_SIMULATED_VM_CLIENT_H_
#define TESTS_SIM_SIMULATED_VM_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/random.h"
#include "cell/vm_client.h"
#include "sim/link_faults.h"
#include "sim/simulated_vm.h"

namespace basilspur::sim {

/// One node's access to the VMs, with delays and the faults of its links.
///
/// Thread safety: only from the thread of the simulation.
class SimulatedVmClient final : public cell::VmClient {
 public:
  /// Returns the incarnation with this id; null if it has terminated.
  using FindVm =
      std::function<std::shared_ptr<SimulatedVm>(const std::string&)>;
  /// Returns the resources that a task needs.
  using NeedOf = std::function<records::Resources(const jobs::TaskRef&)>;

  /// Precondition: the references outlive the object and the calls.
  SimulatedVmClient(net::asio::io_context& network, const Clock& clock,
                    const LinkFaults& faults, Random& random, FindVm find_vm,
                    NeedOf need_of);

  net::asio::awaitable<cell::RenewalAnswer> Renew(
      jobs::VmListing vm, cell::Renewal renewal) override;
  net::asio::awaitable<cell::CommandAnswer> Send(
      jobs::VmListing vm, jobs::RunCommand command,
      cell::CommandContext context) override;
  void Disconnect(const std::string&) override {}

 private:
  net::asio::awaitable<std::optional<cell::RenewalAnswer>> ExecuteRenewal(
      std::string vm, cell::Renewal renewal);
  net::asio::awaitable<std::optional<cell::CommandAnswer>> ExecuteCommand(
      jobs::RunCommand command, cell::CommandContext context);
  bool IsCut(const std::string& vm) const {
    return faults_.cut_vms.contains(vm);
  }
  /// The answer of this call will be lost.
  bool LosesCall(const std::string& vm);
  Millis LateExecution();
  Millis Latency() { return Millis(1 + static_cast<int>(random_.Below(5))); }

  net::asio::io_context& network_;
  const Clock& clock_;
  const LinkFaults& faults_;
  Random& random_;
  FindVm find_vm_;
  NeedOf need_of_;
};

}  // namespace basilspur::sim

#endif  // TESTS_SIM_SIMULATED_VM_CLIENT_H_
