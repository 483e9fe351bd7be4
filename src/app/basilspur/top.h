#ifndef BASILSPUR_APP_BASILSPUR_TOP_H_
#define BASILSPUR_APP_BASILSPUR_TOP_H_

#include <cstdint>
#include <string>

#include "client.h"

namespace basilspur::cli {

/// Options of `entry top`.
struct TopOptions {
  std::string prefix;       ///< Selects figures by the start of the name.
  std::int64_t rounds = 0;  ///< Number of rounds; 0: until interrupted.
  std::int64_t interval_ms = 0;
};

/// Prints the figures of all live entries at an interval, with the change per
/// second. Returns an exit code.
int ShowTop(Client& client, const TopOptions& options);

}  // namespace basilspur::cli

#endif  // BASILSPUR_APP_BASILSPUR_TOP_H_
