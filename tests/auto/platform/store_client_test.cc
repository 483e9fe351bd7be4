#include "store_client.h"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "fakes/fake_clock.h"
#include "metrics/registry.h"
#include "net/http_server.h"
#include "net/spawn.h"
#include "net/timer.h"

using namespace basilspur;           // NOLINT(google-build-using-namespace)
using namespace basilspur::adapter;  // NOLINT(google-build-using-namespace)

/// Serves three pages of one record each. The first attempts to read the last
/// page fail.
class PagedStore {
 public:
  net::asio::awaitable<net::HttpResponse> HandleRequest(
      net::HttpRequest request) {
    const auto key_at = request.target.find("&deps=");
    const int page = key_at == std::string::npos
                         ? 1
                         : std::stoi(request.target.substr(key_at + 6)) + 1;
    ++reads[page];
    net::HttpResponse response;
    if (replaced.contains(page)) {
      // Ends a reader that asks for the same page for good.
      if (reads[page] <= kMaxReads) co_return replaced.at(page);
      response.status = 503;
      co_return response;
    }
    if (page == kPages && reads[page] <= failing_reads) {
      if (is_slow) co_await net::Sleep(Millis(3'000));
      response.status = is_slow ? 200 : 429;
      co_return response;
    }
    response.body = R"({"items":[{"key":")" + std::to_string(page) +
                    R"(","value":"","offset":)" + std::to_string(page) +
                    R"(}],"more":)" + (page < kPages ? "true" : "false") +
                    R"(,"end":9})";
    co_return response;
  }

  static constexpr int kPages = 3;
  static constexpr int kMaxReads = 10;
  std::map<int, net::HttpResponse> replaced;  ///< Answers instead of pages.
  int failing_reads = 0;
  bool is_slow = false;
  int reads[kPages + 1] = {};
};

static std::optional<Result<cell::NewestRecords>> ReadAll(PagedStore& pages) {
  net::asio::io_context context;
  const auto port = net::ServeHttp(
      context, "127.0.0.1:0", [&pages](net::HttpRequest request) {
        return pages.HandleRequest(std::move(request));
      });
  fakes::FakeClock clock;
  metrics::Registry metrics;
  StoreClient store(context, clock, metrics,
                    "127.0.0.1:" + std::to_string(ValueOf(port)));
  std::optional<Result<cell::NewestRecords>> result;
  net::Spawn(
      context,
      [](StoreClient& client, std::optional<Result<cell::NewestRecords>>& read,
         net::asio::io_context& io) -> net::asio::awaitable<void> {
        const cell::Partition partition{"keyed.jobs", 0};
        read = co_await client.ReadNewest(partition);
        io.stop();
      }(store, result, context),
      "read_all");
  context.run();
  return result;
}

// Owners that began with the first page again did not get ready on slow links.
TEST_CASE(
    "a page that fails makes the reader begin with the first page again") {
  PagedStore pages;
  SECTION("the store refuses two reads") { pages.failing_reads = 2; }
  SECTION("an answer takes longer than the time-out") {
    pages.failing_reads = 1;
    pages.is_slow = true;
  }
  const auto result = ReadAll(pages);
  REQUIRE(result);
  REQUIRE(IsOk(*result));
  CHECK(ValueOf(*result).records.size() == PagedStore::kPages);
  CHECK(pages.reads[1] == 1);
}

TEST_CASE("a page that fails again and again is reported") {
  PagedStore pages;
  pages.failing_reads = 100;
  const auto result = ReadAll(pages);
  REQUIRE(result);
  CHECK(!IsOk(*result));
  CHECK(pages.reads[PagedStore::kPages] == 3);
}

static net::HttpResponse MakeAnswer(unsigned status, std::string body) {
  net::HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

/// Guards against a new owner that takes a part of the journal for all of it,
/// and starts again what the rest says is done or at work.
TEST_CASE("a partition counts as read only with its last page") {
  static constexpr char kEmptyPage[] = R"({"items":[],"more":true,"end":9})";
  PagedStore pages;
  int page = 2;
  SECTION("a later page is not found") {
    pages.replaced[page] = MakeAnswer(404, "");
  }
  SECTION("the last page is not found") {
    page = PagedStore::kPages;
    pages.replaced[page] = MakeAnswer(404, "");
  }
  SECTION("a later page is refused") {
    pages.replaced[page] = MakeAnswer(503, "");
  }
  SECTION("a later page is cut") {
    pages.replaced[page] = MakeAnswer(200, R"({"items":[{"key":"2","val)");
  }
  SECTION("the first page has no records, but more follow") {
    page = 1;
    pages.replaced[page] = MakeAnswer(200, kEmptyPage);
  }
  SECTION("a later page has no records, but more follow") {
    pages.replaced[page] = MakeAnswer(200, kEmptyPage);
  }
  SECTION("a page repeats the one before") {
    pages.replaced[page] = MakeAnswer(
        200,
        R"({"items":[{"key":"1","value":"","offset":1}],"more":true,"end":9})");
  }
  const auto result = ReadAll(pages);
  REQUIRE(result);
  CHECK(!IsOk(*result));
  CHECK(pages.reads[page] <= 3);
}

TEST_CASE("a partition that the store does not find is read as empty") {
  PagedStore pages;
  pages.replaced[1] = MakeAnswer(404, "");
  const auto result = ReadAll(pages);
  REQUIRE(result);
  REQUIRE(IsOk(*result));
  CHECK(ValueOf(*result).records.empty());
}
