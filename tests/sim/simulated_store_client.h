#ifndef TESTS_SIM_SIMULATED_STORE_CLIENT_H_
#define TESTS_SIM_SIMULATED_STORE_CLIENT_H_

#include <functional>
#include <optional>
#include <vector>

#include "base/random.h"
#include "cell/store.h"
#include "sim/link_faults.h"
#include "sim/simulated_store.h"

namespace basilspur::sim {

/// One node's access to the store, with delays and the faults of its link.
///
/// Thread safety: only from the thread of the simulation.
class SimulatedStoreClient final : public cell::Store {
 public:
  /// Precondition: the references outlive the object and the calls.
  SimulatedStoreClient(net::asio::io_context& network, SimulatedStore& store,
                       const LinkFaults& faults, const Clock& clock,
                       Random& random);

  net::asio::awaitable<cell::AppendAnswer> AppendAt(
      cell::Partition partition, std::int64_t expected_end,
      std::vector<cell::KeyedRecord> records) override;
  net::asio::awaitable<cell::AppendAnswer> AppendAs(
      cell::Partition partition, cell::Producer producer,
      std::vector<cell::KeyedRecord> records) override;
  net::asio::awaitable<Result<cell::NewestRecords>> ReadNewest(
      cell::Partition partition) override;
  net::asio::awaitable<Result<cell::RecordSlice>> ReadFrom(
      cell::Partition partition, std::int64_t from, Millis max_wait) override;

 private:
  using Append = std::function<cell::AppendAnswer()>;

  net::asio::awaitable<cell::AppendAnswer> Send(Append append);
  net::asio::awaitable<std::optional<cell::AppendAnswer>> Execute(
      Append append);
  net::asio::awaitable<std::optional<Result<cell::NewestRecords>>>
  ExecuteReadNewest(cell::Partition partition);
  net::asio::awaitable<std::optional<Result<cell::RecordSlice>>>
  ExecuteReadFrom(cell::Partition partition, std::int64_t from,
                  Millis max_wait);
  Millis Latency() { return Millis(1 + static_cast<int>(random_.Below(5))); }

  net::asio::io_context& network_;
  SimulatedStore& store_;
  const LinkFaults& faults_;
  const Clock& clock_;
  Random& random_;
};

}  // namespace basilspur::sim

#endif  // TESTS_SIM_SIMULATED_STORE_CLIENT_H_
