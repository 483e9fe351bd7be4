#ifndef BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_POLICY_H_
#define BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_POLICY_H_

#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "batch_simulator.h"
#include "interference/pair_estimate.h"
#include "interference/run_on_vm.h"
#include "placement/vm_scorer.h"

namespace basilspur::bench {

/// The policy by which an entry places runs and reacts to reports of workers.
class BatchPolicy {
 public:
  virtual ~BatchPolicy() = default;

  virtual std::unique_ptr<placement::VmScorer> MakeScorer() = 0;

  /// Updates the services and runs on a VM that the entry owns. Called in every
  /// step of the simulation.
  virtual void OnMix(const std::string& vm,
                     const std::vector<std::string>& services,
                     std::span<const interference::RunOnVm> runs,
                     Millis now) = 0;

  /// Handles a report of a worker; returns the runs to evict.
  virtual std::vector<records::RunRef> OnReport(
      const BatchSimulator::Report& report, Millis now) = 0;

  virtual bool IsThrottled(const std::string& vm,
                           const records::RunRef& run) const = 0;

  /// Returns the estimates that have changed since the last call, to be sent to
  /// the peers.
  virtual std::vector<interference::PairEstimate> TakeChangedEstimates() = 0;
  virtual void MergePeerEstimates(
      const std::string& peer,
      const std::vector<interference::PairEstimate>& estimates) = 0;
};

/// Creates a policy by its name; see BatchScenario::policy.
std::unique_ptr<BatchPolicy> MakeBatchPolicy(const std::string& name);

}  // namespace basilspur::bench

#endif  // BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_POLICY_H_
