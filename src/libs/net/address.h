#ifndef BASILSPUR_NET_ADDRESS_H_
#define BASILSPUR_NET_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace basilspur::net {

/// An IP address and a port, from text such as "127.0.0.1:80" or "[::1]:80".
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string ToString() const;
};

/// Parses an address. Host names are rejected, because processes address each
/// other by IP address.
/// Thread safety: any thread.
Result<Address> ParseAddress(std::string_view text);

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_ADDRESS_H_
