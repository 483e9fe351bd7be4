#include "store_usage.h"

#include <catch2/catch.hpp>
#include <string>

#include "fakes/fake_clock.h"

using namespace basilspur;           // NOLINT(google-build-using-namespace)
using namespace basilspur::adapter;  // NOLINT(google-build-using-namespace)

static Result<net::HttpResponse> MakeResponse(unsigned status,
                                              std::string body) {
  net::HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

TEST_CASE("calls to the store are counted by topic, kind and outcome") {
  fakes::FakeClock clock;
  metrics::Registry metrics;
  StoreUsage usage(clock, metrics);
  usage.OnCall("keyed.jobs", StoreCall::kAppend, 10, MakeResponse(200, "abc"));
  usage.OnCall("keyed.jobs", StoreCall::kAppend, 10, MakeResponse(412, ""));
  usage.OnCall("keyed.jobs", StoreCall::kAppend, 10, MakeResponse(429, ""));
  usage.OnCall("keyed.jobs", StoreCall::kRead, 0,
               Error{ErrorCode::kTimeout, "receive", "store", "no answer"});
  const metrics::Labels appends = {{"topic", "keyed.jobs"}, {"call", "append"}};
  const auto count = [&](metrics::Labels labels, const char* outcome) {
    labels.emplace_back("outcome", outcome);
    return metrics.Counter("basilspur_store_calls_total", labels).load();
  };
  CHECK(count(appends, "answered") == 2);
  CHECK(count(appends, "refused") == 1);
  CHECK(count({{"topic", "keyed.jobs"}, {"call", "read"}}, "unanswered") == 1);
  CHECK(metrics.Counter("basilspur_store_bytes_total", appends).load() == 33);
}
