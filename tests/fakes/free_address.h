#ifndef BASILSPUR_TESTS_FAKES_FREE_ADDRESS_H_
#define BASILSPUR_TESTS_FAKES_FREE_ADDRESS_H_

#include <string>

namespace basilspur::fakes {

/// Returns a loopback address on which no process listens. Its port is below
/// the system's ephemeral port range, so that no outgoing connection can occupy
/// it before the test does. Each call returns a different address.
std::string FreeAddress(const std::string& ip = "127.0.0.1");

/// A loopback address of this process alone. A port there stays free while its
/// server restarts, since no other test listens on it.
std::string ProcessLoopbackIp();

}  // namespace basilspur::fakes

#endif  // BASILSPUR_TESTS_FAKES_FREE_ADDRESS_H_
