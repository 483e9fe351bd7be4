#ifndef BASILSPUR_STATE_WAITING_ORDER_H_
#define BASILSPUR_STATE_WAITING_ORDER_H_

#include <cstdint>
#include <string>

namespace basilspur::state {

/// Sort key of waiting jobs: urgent jobs first, then in order of acceptance.
struct WaitingOrder {
  bool non_urgent = false;
  std::int64_t accept_order = 0;
  std::string job;

  auto operator<=>(const WaitingOrder& other) const = default;
};

}  // namespace basilspur::state

#endif  // BASILSPUR_STATE_WAITING_ORDER_H_
