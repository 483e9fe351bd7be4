#include "base/random.h"

#include "base/hashing.h"

namespace basilspur {

std::uint64_t Random::Next() {
  state_ += 0x9e3779b97f4a7c15ULL;
  return MixBits(state_);
}

double Random::NextDouble() {
  constexpr int kMantissaBits = 53;
  return static_cast<double>(Next() >> (64 - kMantissaBits)) /
         static_cast<double>(1ULL << kMantissaBits);
}

}  // namespace basilspur
