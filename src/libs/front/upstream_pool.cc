#include "front/upstream_pool.h"

#include <array>
#include <utility>

#include "net/address.h"

namespace basilspur::front {

/// An executor accepts about 60 connections. The entry to which its slots are
/// assigned uses about ten of them, the other entries a few.
static constexpr std::size_t kMaxIdlePerTarget = 16;
static constexpr Millis kMaxIdleTime(15'000);

/// True if nothing has arrived on an idle connection, neither its end nor
/// unsolicited bytes.
static bool IsReusable(UpstreamConnection& connection) {
  if (connection.buffer.size() > 0) return false;
  auto& socket = connection.stream.socket();
  error_code failure;
  socket.non_blocking(true, failure);
  if (failure) return false;
  std::array<char, 1> byte{};
  socket.receive(asio::buffer(byte), asio::socket_base::message_peek, failure);
  return failure == asio::error::would_block;
}

UpstreamPool::UpstreamPool(asio::io_context& context, const Clock& clock)
    : context_(context), clock_(clock) {}

UpstreamPtr UpstreamPool::TakeIdle(const std::string& address,
                                   Millis max_idle_time) {
  std::deque<UpstreamPtr>& idle = idle_[address];
  const Millis cutoff = clock_.Monotonic() - max_idle_time;
  while (!idle.empty()) {
    UpstreamPtr connection = std::move(idle.back());
    idle.pop_back();
    if (connection->idle_since < cutoff) {
      idle.clear();
      return nullptr;
    }
    if (IsReusable(*connection)) return connection;
  }
  return nullptr;
}

asio::awaitable<Result<UpstreamPtr>> UpstreamPool::Connect(std::string address,
                                                           Millis timeout) {
  const Result<net::Address> parsed = net::ParseAddress(address);
  if (!IsOk(parsed)) co_return ErrorOf(parsed);
  auto connection = std::make_unique<UpstreamConnection>(context_);
  connection->stream.expires_after(std::chrono::milliseconds(timeout.count));
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(ValueOf(parsed).ip), ValueOf(parsed).port);
  error_code failure;
  co_await connection->stream.async_connect(endpoint, RedirectError(failure));
  if (failure) {
    co_return Error{ErrorCode::kUnavailable, "connect", address,
                    failure.message()};
  }
  connection->stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                         failure);
  co_return connection;
}

void UpstreamPool::PutIdle(const std::string& address, UpstreamPtr connection) {
  std::deque<UpstreamPtr>& idle = idle_[address];
  if (idle.size() >= kMaxIdlePerTarget) return;
  connection->idle_since = clock_.Monotonic();
  idle.push_back(std::move(connection));
}

void UpstreamPool::CloseIdle(const std::string& address) {
  idle_.erase(address);
}

void UpstreamPool::Sweep() {
  const Millis cutoff = clock_.Monotonic() - kMaxIdleTime;
  for (auto& [address, idle] : idle_) {
    while (!idle.empty() && idle.front()->idle_since < cutoff) {
      idle.pop_front();
    }
  }
}

}  // namespace basilspur::front
