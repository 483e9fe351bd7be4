#ifndef BASILSPUR_NET_SPAWN_H_
#define BASILSPUR_NET_SPAWN_H_

#include <functional>

#include "net/asio.h"

namespace basilspur::net {

/// Starts a coroutine that nobody waits for. An exception that leaves it ends
/// only this coroutine: it is logged under `name`, and `on_failure` is called,
/// which has to end or restart whatever does not work without the coroutine.
///
/// Precondition: `name` outlives the coroutine. Thread safety: as `context`.
void Spawn(asio::io_context& context, asio::awaitable<void> coroutine,
           const char* name, std::function<void()> on_failure = {});

/// Runs the context until it is stopped or has no work. An exception that
/// leaves a handler is logged, and the other handlers are run.
void RunHandlers(asio::io_context& context);

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_SPAWN_H_
