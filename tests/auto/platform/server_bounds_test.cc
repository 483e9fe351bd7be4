#include "server_bounds.h"

#include <catch2/catch.hpp>

using namespace basilspur::adapter;  // NOLINT(google-build-using-namespace)

/// Guards against servers whose clients leave no descriptors for the store,
/// other entries and VMs.
TEST_CASE("the bounds of all servers leave descriptors and memory") {
  const int descriptors = GENERATE(400, 4'100, 8'192);
  const ServerBounds bounds = MakeServerBounds(160, descriptors);
  const std::size_t connections = bounds.callers.max_connections +
                                  bounds.readiness.max_connections +
                                  bounds.peers.max_connections;
  const auto sockets = static_cast<std::size_t>(descriptors - 200);
  CHECK(connections <= sockets * 25 / 32);
  CHECK(bounds.callers.max_connections >= sockets / 3);
  CHECK(bounds.readiness.max_connections >= 6);
  CHECK(bounds.request_memory_bytes == 20u << 20);
}

TEST_CASE("the limits of a message are at least those of the users' pages") {
  const ServerBounds bounds = MakeServerBounds(160, 4'100);
  CHECK(bounds.callers.max_header_bytes >= 16'384);
  CHECK(bounds.callers.max_body_bytes >= 262'144);
}
