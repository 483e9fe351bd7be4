#include <catch2/catch.hpp>

#include "auto/cell/cell_member_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');
static const std::string kOtherJob(16, 'b');

/// The append was repeated for good, so the cell accepted, cancelled and ended
/// no job any more.
TEST_CASE("a record that the store does not take holds up no other record") {
  CellMemberFixture fixture;
  const std::string checkpoint(300'000, 'x');
  fixture.AddJournaledJob(kJob, 1, "");
  fixture.AddJournaledJob(kOtherJob, 0, "");
  // The former owner could not record this run any more.
  fixture.AddVm("vm", {{{kJob, 0, 0, 0}, 2, checkpoint, 10, 0}});
  fixture.AppendClaimOf("b");
  fixture.Pump();
  fixture.peer_reply.kind = ReplyKind::kSteppedDown;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  for (int i = 0; i < 10; ++i) {
    fixture.PumpFor(Millis(20));
    fixture.TickFor(Millis(100));
  }
  const auto& journal = fixture.store.Records({"keyed.jobs", 0});
  const std::int64_t before = static_cast<std::int64_t>(journal.size());
  JobRequest request;
  request.kind = RequestKind::kCancel;
  request.job = kOtherJob;
  request.timeout_ms = 1'000;
  JobReply reply;
  bool answered = false;
  net::asio::co_spawn(
      fixture.context,
      [&]() -> net::asio::awaitable<void> {
        reply = co_await fixture.member->Owner()->Handle(request);
        answered = true;
      },
      net::asio::detached);
  for (int i = 0; i < 5; ++i) {
    fixture.PumpFor(Millis(20));
    fixture.TickFor(Millis(100));
  }
  CHECK(answered);
  CHECK(reply.kind == ReplyKind::kCancelled);
  CHECK(static_cast<std::int64_t>(journal.size()) > before);
}
