#include "cell/leaving.h"

#include "cell/cell_member.h"
#include "cell/signal.h"
#include "net/spawn.h"

namespace basilspur::cell {

namespace {

struct Departure {
  explicit Departure(net::asio::io_context& context) : changed(context) {}

  Signal changed;
  std::size_t pending = 0;
};

}  // namespace

static void OnLeft(Departure& all) {
  --all.pending;
  all.changed.NotifyAll();
}

static net::asio::awaitable<void> LeaveOne(std::shared_ptr<CellMember> member,
                                           Millis limit,
                                           std::shared_ptr<Departure> all) {
  co_await member->Leave(limit);
  OnLeft(*all);
}

net::asio::awaitable<bool> LeaveAll(
    net::asio::io_context& context,
    std::vector<std::shared_ptr<CellMember>> members, Millis limit) {
  const auto all = std::make_shared<Departure>(context);
  all->pending = members.size();
  for (const auto& member : members) {
    net::Spawn(context, LeaveOne(member, limit, all), "leave",
               [all] { OnLeft(*all); });
  }
  net::Timer deadline(context);
  const auto late = std::make_shared<bool>(false);
  deadline.ExpireAfter(limit);
  deadline.AsyncWait([late, all](const net::error_code&) {
    *late = true;
    all->changed.NotifyAll();
  });
  while (all->pending > 0 && !*late) co_await all->changed.Wait();
  co_return all->pending == 0;
}

}  // namespace basilspur::cell
