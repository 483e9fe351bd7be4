#include "base/hashing.h"

namespace basilspur {

std::uint64_t StableHash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  }
  return hash;
}

std::uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  return MixBits(StableHash(key) ^ MixBits(StableHash(node)));
}

}  // namespace basilspur
