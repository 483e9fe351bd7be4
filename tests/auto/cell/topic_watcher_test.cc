#include "cell/topic_watcher.h"

#include <catch2/catch.hpp>

#include "auto/cell/fake_store.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static const Partition kPartition{"keyed.test", 0};

TEST_CASE(
    "a watcher that is stopped before it has begun stays alive until then") {
  net::asio::io_context context;
  FakeStore store(context);
  int records = 0;
  auto watcher = std::make_shared<TopicWatcher>(
      store, kPartition, WatchSettings{},
      [&](const KeyedRecord&) { ++records; }, [](std::int64_t) {});
  const std::weak_ptr<TopicWatcher> weak = watcher;
  store.Append(kPartition, 0, {{"key", {1}, 0}});
  watcher->Start(context);
  watcher->Stop();
  watcher.reset();
  CHECK(!weak.expired());
  context.poll();
  CHECK(weak.expired());
  CHECK(records == 0);
}

TEST_CASE("a record that its reader throws on does not keep others from it") {
  net::asio::io_context context;
  FakeStore store(context);
  int records = 0;
  const auto watcher = std::make_shared<TopicWatcher>(
      store, kPartition, WatchSettings{},
      [&](const KeyedRecord& record) {
        if (record.key == "bad") throw std::runtime_error("unexpected");
        ++records;
      },
      [](std::int64_t) {});
  store.Append(kPartition, 0, {{"bad", {1}, 0}, {"good", {1}, 0}});
  watcher->Start(context);
  context.poll();
  CHECK(records == 1);
  store.Append(kPartition, 2, {{"bad", {2}, 0}, {"good", {2}, 0}});
  context.restart();
  context.poll();
  CHECK(records == 2);
}
