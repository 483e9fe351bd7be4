#include "records/codec.h"

#include <catch2/catch.hpp>
#include <iostream>

#include "base/random.h"
#include "infra/worker_messages.h"
#include "link/messages.h"
#include "records/record.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using records::Bytes;

static records::RecordBatch MakeBatch() {
  records::RecordBatch batch;
  records::Record record;
  record.cell = "cell-0";
  record.writer = {"entry", 5};
  record.sequence = 9;
  records::ServiceSpec service;
  service.name = "s";
  service.targets = {{"127.0.0.1:1", "dc", "vm", 8}};
  record.body = records::ServicePut{service, 3};
  batch.records = {record, record};
  batch.records[1].body = records::JobsCancelled{{"a", "b"}};
  return batch;
}

TEST_CASE("an encoded batch decodes to the same records") {
  const Bytes bytes = records::Encode(MakeBatch());
  const auto decoded = records::Decode<records::RecordBatch>(bytes);
  REQUIRE(IsOk(decoded));
  CHECK(records::Encode(ValueOf(decoded)) == bytes);
  const auto& body =
      std::get<records::ServicePut>(ValueOf(decoded).records[0].body);
  CHECK(body.spec.targets[0].slots == 8);
}

TEST_CASE("corrupt bytes give errors instead of crashes") {
  constexpr std::uint64_t kSeed = 4'711;
  std::cout << "corrupt records: seed " << kSeed << "\n";
  Random random(kSeed);
  const Bytes good = records::Encode(MakeBatch());
  for (int i = 0; i < 20'000; ++i) {
    Bytes bytes = good;
    bytes.resize(1 + random.Below(bytes.size()));
    for (int j = 0; j < 3; ++j) {
      bytes[random.Below(bytes.size())] =
          static_cast<std::uint8_t>(random.Below(256));
    }
    records::Decode<records::RecordBatch>(bytes);
    records::Decode<records::SnapshotChunk>(bytes);
    records::Decode<link::Message>(bytes);
    records::Decode<infra::SyncRequest>(bytes);
    records::Decode<infra::SyncReply>(bytes);
  }
  SUCCEED();
}
