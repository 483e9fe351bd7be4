#ifndef TESTS_SIM_CONTEXT_H_
#define TESTS_SIM_CONTEXT_H_

#include "net/asio.h"

namespace basilspur::sim {

/// An io_context whose coroutines can be destroyed before it. Coroutines of
/// several contexts that refer to timers of each other are destroyed first, and
/// the contexts afterwards.
///
/// Thread safety: one thread at a time.
class Context : public net::asio::io_context {
 public:
  void Shutdown() { shutdown(); }
};

}  // namespace basilspur::sim

#endif  // TESTS_SIM_CONTEXT_H_
