#ifndef BASILSPUR_BASE_HASHING_H_
#define BASILSPUR_BASE_HASHING_H_

#include <cstdint>
#include <string_view>

namespace basilspur {

/// The finalizer of SplitMix64: every input bit affects every output bit.
constexpr std::uint64_t MixBits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// FNV-1a hash. The result must be the same in all processes and versions.
std::uint64_t StableHash(std::string_view text);

/// The weight of `node` for `key` in rendezvous hashing. The node with the
/// highest weight is selected.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view node);

}  // namespace basilspur

#endif  // BASILSPUR_BASE_HASHING_H_
