#ifndef BASILSPUR_CELL_LEAVING_H_
#define BASILSPUR_CELL_LEAVING_H_

#include <memory>
#include <vector>

#include "base/clock.h"
#include "net/asio.h"

namespace basilspur::cell {

class CellMember;

/// Lets all members leave their cells at the same time, and returns after
/// `limit` at the latest: without responses from the store, one hand-over alone
/// waits for up to 18.8 s. Members that have not left by then go on trying.
/// Returns whether all have left.
///
/// Thread safety: only from the thread of `context`, which has to outlive the
/// members.
net::asio::awaitable<bool> LeaveAll(
    net::asio::io_context& context,
    std::vector<std::shared_ptr<CellMember>> members, Millis limit);

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_LEAVING_H_
