#ifndef BASILSPUR_TESTS_FAKES_FREE_ADDRESS_H_
#define BASILSPUR_TESTS_FAKES_FREE_ADDRESS_H_

#include <string>

namespace basilspur::fakes {

/// Returns a loopback address on which no process listens. Its port is below
/// the system's ephemeral port range, so that no outgoing connection can occupy
/// it before the test does. Each call returns a different address.
std::string FreeAddress();

}  // namespace basilspur::fakes

#endif  // BASILSPUR_TESTS_FAKES_FREE_ADDRESS_H_
