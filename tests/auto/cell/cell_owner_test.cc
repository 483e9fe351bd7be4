#include "cell/cell_owner.h"

#include <catch2/catch.hpp>

#include "auto/cell/cell_member_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static const ElectionSettings kSettings;
static const std::string kJob(16, 'a');

/// Makes the entry the second owner of the cell.
static void ReplaceOwner(CellMemberFixture& fixture) {
  fixture.AppendClaimOf("b");
  fixture.Pump();
  fixture.peer_reply.kind = ReplyKind::kSteppedDown;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
}

TEST_CASE("a run that an owner could not record is not started twice") {
  const int last_run = GENERATE(1, 25, 400);
  CellMemberFixture fixture;
  // The next run was started on "vm", but the owner ended before it could
  // record that.
  fixture.AddJournaledJob(kJob, last_run, "");
  fixture.AddVm("vm", {{{kJob, 0, 0, 0}, last_run + 1, "", 10, 0}});
  fixture.AddVm("other");
  ReplaceOwner(fixture);
  for (int i = 0; i < 10; ++i) {
    fixture.PumpFor(Millis(20));
    fixture.TickFor(Millis(100));
  }
  REQUIRE(fixture.vms.renewals.size() > 2);
  CHECK(fixture.vms.commands.empty());
}

TEST_CASE("an owner that thaws after its expiry sends nothing to VMs") {
  CellMemberFixture fixture;
  fixture.AddVm("vm");
  fixture.AddJournaledJob(kJob, 0, "");
  // The entry is frozen while the answer to its first renewal is on its way.
  fixture.vms.before_answer = [&] {
    if (fixture.vms.renewals.size() > 1) return;
    fixture.clock.Advance(kSettings.expiry + Millis(1));
  };
  fixture.BecomeOwner();
  // Timers and answers are handled before the member's next tick.
  fixture.PumpFor(Millis(50));
  CHECK(fixture.vms.renewals.size() == 1);
  CHECK(fixture.vms.commands.empty());
  CHECK(!fixture.member->Owns());
}
