#include <catch2/catch.hpp>
#include <optional>

#include "auto/cell/cell_member_fixture.h"
#include "cell/node.h"
#include "net/http_server.h"
#include "net/spawn.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static constexpr int kCells = 3;
static constexpr Millis kOwnerDelay(500);
static constexpr Millis kCallerLimit(1'000);

namespace {

class FakeDirectory final : public Directory {
 public:
  void Start(Callbacks) override {}
  void Stop() override {}
};

}  // namespace

/// Answers a count after kOwnerDelay.
static net::asio::awaitable<net::HttpResponse> AnswerSlowly(net::HttpRequest) {
  co_await net::Sleep(kOwnerDelay);
  JobReply reply{ReplyKind::kCount, 1};
  reply.incarnation = "b";
  const records::Bytes bytes = records::Encode(reply);
  net::HttpResponse response;
  response.body = std::string(bytes.begin(), bytes.end());
  co_return response;
}

TEST_CASE("a queue count outlasts its caller when several owners are slow") {
  net::asio::io_context context;
  const auto port = net::ServeHttp(context, "127.0.0.1:0", AnswerSlowly);
  FakeStore store(context);
  Layout layout;
  layout.cells = kCells;
  store.Append({"keyed.layout", 0}, 0,
               {{"layout", records::Encode(layout), 0}});
  for (int cell = 0; cell < kCells; ++cell) {
    OwnerRecord owner = CellMemberFixture::MakeRecord("b");
    owner.address = "127.0.0.1:" + std::to_string(ValueOf(port));
    store.Append({"keyed.owners", cell}, 0,
                 {{"owner", records::Encode(owner), 0}});
  }
  FakeVmClient vms;
  FakeDirectory directory;
  SystemClock clock;
  NodeSettings settings;
  settings.identity = {"a", "a-1", "a:1"};
  Node node(context, store, vms, directory, clock, settings);
  node.Start();
  std::optional<JobReply> reply;
  net::Spawn(
      context,
      [](Node& node,
         std::optional<JobReply>& reply) -> net::asio::awaitable<void> {
        co_await net::Sleep(Millis(100));
        JobRequest request;
        request.kind = RequestKind::kCount;
        request.queue = "q";
        request.timeout_ms = kCallerLimit.count;
        reply = co_await node.Handle(std::move(request));
      }(node, reply),
      "count");
  context.run_for(std::chrono::milliseconds(100 + kCallerLimit.count));
  REQUIRE(reply);
  CHECK(reply->kind == ReplyKind::kUnavailable);
}
