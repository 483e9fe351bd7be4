#ifndef BASILSPUR_BASE_RANDOM_H_
#define BASILSPUR_BASE_RANDOM_H_

#include <cstdint>

namespace basilspur {

/// A small seeded pseudo-random number generator (SplitMix64). Decision logic
/// takes it as an argument, so that the same seed reproduces the same
/// decisions.
///
/// Thread safety: one thread at a time.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next();

  /// Uniform in [0, bound). Precondition: bound > 0.
  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }

  /// Uniform in [0, 1).
  double NextDouble();

  /// Returns true with the given probability.
  bool Chance(double probability) { return NextDouble() < probability; }

 private:
  std::uint64_t state_;
};

}  // namespace basilspur

#endif  // BASILSPUR_BASE_RANDOM_H_
