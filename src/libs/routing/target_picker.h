#ifndef BASILSPUR_ROUTING_TARGET_PICKER_H_
#define BASILSPUR_ROUTING_TARGET_PICKER_H_

#include <cstddef>
#include <memory>
#include <span>
#include <string_view>

#include "base/random.h"
#include "routing/target.h"

namespace basilspur::routing {

/// Load-balancing policy: selects one of the targets that may get a request
/// now.
///
/// Thread safety: one thread at a time.
class TargetPicker {
 public:
  virtual ~TargetPicker() = default;

  /// Returns an index into `candidates`. Precondition: not empty.
  virtual std::size_t Pick(std::span<const Target* const> candidates,
                           Random& random) = 0;
};

/// Selects each target in turn. A baseline.
class RoundRobinPicker final : public TargetPicker {
 public:
  std::size_t Pick(std::span<const Target* const> candidates,
                   Random& random) override;

 private:
  std::size_t next_ = 0;
};

/// Selects a random target. A baseline.
class RandomPicker final : public TargetPicker {
 public:
  std::size_t Pick(std::span<const Target* const> candidates,
                   Random& random) override;
};

/// Selects the target with the fewest requests of this entry in flight. A
/// baseline.
class LeastConnectionsPicker final : public TargetPicker {
 public:
  std::size_t Pick(std::span<const Target* const> candidates,
                   Random& random) override;
};

/// Selects the target with the lowest expected delay: its requests in flight
/// per usable slot, weighted by its average latency.
class LeastExpectedDelayPicker final : public TargetPicker {
 public:
  std::size_t Pick(std::span<const Target* const> candidates,
                   Random& random) override;
};

/// Creates the picker named "round-robin", "random", "least-connections" or
/// "least-expected-delay"; null for any other name.
std::unique_ptr<TargetPicker> MakeTargetPicker(std::string_view name);

}  // namespace basilspur::routing

#endif  // BASILSPUR_ROUTING_TARGET_PICKER_H_
