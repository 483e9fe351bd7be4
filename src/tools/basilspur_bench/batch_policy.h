#ifndef BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_POLICY_H_
#define BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_POLICY_H_

#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "batch_world.h"
#include "interference/pair_estimate.h"
#include "interference/run_on_vm.h"
#include "placement/vm_scorer.h"

namespace basilspur::bench {

/// How one entry places runs and answers reports.
class BatchPolicy {
 public:
  virtual ~BatchPolicy() = default;

  virtual std::unique_ptr<placement::VmScorer> MakeScorer() = 0;

  /// What runs now on a VM that the entry owns.
  virtual void OnMix(const std::string& vm,
                     const std::vector<std::string>& services,
                     std::span<const interference::RunOnVm> runs,
                     Millis now) = 0;

  /// Returns the runs to evict.
  virtual std::vector<records::RunRef> OnReport(
      const BatchWorld::Report& report, Millis now) = 0;

  virtual bool IsThrottled(const std::string& vm,
                           const records::RunRef& run) const = 0;

  /// What the policy has learned since the last call, for its peers.
  virtual std::vector<interference::PairEstimate> TakeChangedEstimates() = 0;
  virtual void LearnFrom(
      const std::string& peer,
      const std::vector<interference::PairEstimate>& estimates) = 0;
};

/// Makes the policy of a scenario by its name.
std::unique_ptr<BatchPolicy> MakeBatchPolicy(const std::string& name);

}  // namespace basilspur::bench

#endif  // BASILSPUR_TOOLS_BASILSPUR_BENCH_BATCH_POLICY_H_
