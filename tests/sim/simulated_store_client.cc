#include "sim/simulated_store_client.h"

#include <utility>

#include "sim/call.h"

namespace basilspur::sim {

using cell::AppendAnswer;
using cell::AppendOutcome;

static constexpr Millis kAppendTimeout(1'000);
static constexpr Millis kReadNewestTimeout(2'500);
static constexpr Millis kReadMargin(1'200);
/// Share of a lossy link's appends of which the answer is lost, and of those
/// the shares that are executed at once and later.
static constexpr double kLostAnswers = 0.4;
static constexpr double kExecutedAtOnce = 0.4;
static constexpr double kExecutedLater = 0.7;
static constexpr int kMinLateMs = 1'000;
static constexpr int kLateRangeMs = 5'000;

SimulatedStoreClient::SimulatedStoreClient(net::asio::io_context& network,
                                           SimulatedStore& store,
                                           const LinkFaults& faults,
                                           const Clock& clock, Random& random)
    : network_(network),
      store_(store),
      faults_(faults),
      clock_(clock),
      random_(random) {}

net::asio::awaitable<std::optional<AppendAnswer>> SimulatedStoreClient::Execute(
    Append append) {
  co_await net::Sleep(Latency());
  switch (faults_.store) {
    case StoreAccess::kRefused: {
      AppendAnswer refused;
      refused.outcome = AppendOutcome::kRefused;
      co_return refused;
    }
    case StoreAccess::kSilent:
    case StoreAccess::kReadOnly:
      co_return std::nullopt;
    case StoreAccess::kLosesCalls: {
      if (!random_.Chance(kLostAnswers)) break;
      const double fate = random_.NextDouble();
      if (fate > kExecutedLater) co_return std::nullopt;
      if (fate > kExecutedAtOnce) {
        co_await net::Sleep(
            Millis(kMinLateMs + static_cast<int>(random_.Below(kLateRangeMs))));
      }
      append();
      co_return std::nullopt;
    }
    case StoreAccess::kNormal:
      break;
  }
  const AppendAnswer answer = append();
  co_await net::Sleep(Latency());
  if (faults_.store == StoreAccess::kSilent) co_return std::nullopt;
  co_return answer;
}

net::asio::awaitable<AppendAnswer> SimulatedStoreClient::Send(Append append) {
  auto execution = Execute(std::move(append));
  const std::optional<AppendAnswer> answer =
      co_await Call(network_, kAppendTimeout, std::move(execution));
  // The default says that the outcome is unknown.
  co_return answer.value_or(AppendAnswer{});
}

net::asio::awaitable<AppendAnswer> SimulatedStoreClient::AppendAt(
    cell::Partition partition, std::int64_t expected_end,
    std::vector<cell::KeyedRecord> records) {
  Append append = [&store = store_, partition, expected_end, records] {
    return store.AppendAt(partition, expected_end, records);
  };
  co_return co_await Send(std::move(append));
}

net::asio::awaitable<AppendAnswer> SimulatedStoreClient::AppendAs(
    cell::Partition partition, cell::Producer producer,
    std::vector<cell::KeyedRecord> records) {
  Append append = [&store = store_, partition, producer, records] {
    return store.AppendAs(partition, producer, records);
  };
  co_return co_await Send(std::move(append));
}

static Error Unavailable() {
  return {ErrorCode::kUnavailable, "read", "store", "refused"};
}

net::asio::awaitable<std::optional<Result<cell::NewestRecords>>>
SimulatedStoreClient::ExecuteReadNewest(cell::Partition partition) {
  co_await net::Sleep(Latency());
  if (faults_.store == StoreAccess::kSilent) co_return std::nullopt;
  if (faults_.store == StoreAccess::kRefused)
    co_return Result<cell::NewestRecords>(Unavailable());
  Result<cell::NewestRecords> newest = store_.ReadNewest(partition);
  co_await net::Sleep(Latency());
  co_return newest;
}

net::asio::awaitable<Result<cell::NewestRecords>>
SimulatedStoreClient::ReadNewest(cell::Partition partition) {
  auto execution = ExecuteReadNewest(partition);
  const auto answer =
      co_await Call(network_, kReadNewestTimeout, std::move(execution));
  if (answer) co_return *answer;
  co_return Unavailable();
}

net::asio::awaitable<std::optional<Result<cell::RecordSlice>>>
SimulatedStoreClient::ExecuteReadFrom(cell::Partition partition,
                                      std::int64_t from, Millis max_wait) {
  co_await net::Sleep(Latency());
  if (faults_.store == StoreAccess::kSilent) co_return std::nullopt;
  if (faults_.store == StoreAccess::kRefused)
    co_return Result<cell::RecordSlice>(Unavailable());
  const Millis until = clock_.Monotonic() + max_wait;
  while (store_.EndOf(partition) <= from && clock_.Monotonic() < until) {
    co_await store_.Appended(partition).WaitFor(until - clock_.Monotonic());
  }
  Result<cell::RecordSlice> slice = store_.ReadFrom(partition, from);
  co_await net::Sleep(Latency());
  // A connection that was cut meanwhile delivers nothing any more.
  if (faults_.store == StoreAccess::kSilent) co_return std::nullopt;
  if (faults_.store == StoreAccess::kRefused)
    co_return Result<cell::RecordSlice>(Unavailable());
  co_return slice;
}

net::asio::awaitable<Result<cell::RecordSlice>> SimulatedStoreClient::ReadFrom(
    cell::Partition partition, std::int64_t from, Millis max_wait) {
  auto execution = ExecuteReadFrom(partition, from, max_wait);
  const auto answer =
      co_await Call(network_, max_wait + kReadMargin, std::move(execution));
  if (answer) co_return *answer;
  co_return Unavailable();
}

}  // namespace basilspur::sim
