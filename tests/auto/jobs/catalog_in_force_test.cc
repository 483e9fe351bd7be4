#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

namespace basilspur::jobs {

static constexpr char kOldVm[] = "vm-old";
static constexpr char kNewVm[] = "vm-new";

/// An idle VM of the service `workers` and one of the service `others`, to
/// which later configurations send the queue.
struct MovingQueue : SchedulerFixture {
  MovingQueue() {
    AddVm(kOldVm);
    AddVm(kNewVm);
    listings.back().service = "others";
    scheduler.UpsertVm(listings.back(), now);
  }

  Catalog MakeCatalog(std::int64_t version, const std::string& service) const {
    Catalog catalog;
    catalog.version = version;
    catalog.queues = {queue};
    catalog.queues[0].service = service;
    return catalog;
  }

  /// Lets both VMs answer `owner`, and returns the VMs of the starts that it
  /// plans then.
  std::vector<std::string> StartsOf(Scheduler& owner) {
    for (const char* vm : {kOldVm, kNewVm}) {
      VmReport report;
      report.clock_ms = now.count;
      owner.OnReport(vm, report, now, now);
    }
    owner.OnDurable(owner.TakeBatch(wall_ms));
    std::vector<std::string> vms;
    for (const RunCommand& command : owner.Plan(wall_ms, now)) {
      if (command.kind == RunCommandKind::kStart) vms.push_back(command.vm);
    }
    return vms;
  }
};

// The journal of a former owner, which ended before it had applied a newer
// configuration to its jobs, kept them with the service of the earlier one.
TEST_CASE("restored jobs keep the service of an earlier config") {
  MovingQueue cell;
  cell.Accept("j1", MovingQueue::MakeJob({MovingQueue::MakeStep(1, 1'000)}));
  const auto next = cell.TakeOver(1'000, [&](Scheduler& owner) {
    owner.ApplyCatalog(cell.MakeCatalog(2, "others"));
  });
  CHECK(cell.StartsOf(*next) == std::vector<std::string>{kNewVm});
}

// A configuration that arrived while a submission was being written to the
// journal was not applied to its job.
TEST_CASE("a job that is being accepted keeps the service of the last config") {
  MovingQueue cell;
  cell.scheduler.Submit("j1", cell.queue,
                        MovingQueue::MakeJob({MovingQueue::MakeStep(1, 1'000)}),
                        cell.wall_ms, cell.now);
  const JournalBatch batch = cell.scheduler.TakeBatch(cell.wall_ms);
  cell.scheduler.ApplyCatalog(cell.MakeCatalog(2, "others"));
  cell.scheduler.OnDurable(batch);
  CHECK(cell.StartsOf(cell.scheduler) == std::vector<std::string>{kNewVm});
}

static Delegation MakeDelegation(const MovingQueue& cell,
                                 const std::string& service,
                                 std::int64_t catalog_version) {
  StepSpec step = MovingQueue::MakeStep(1, 1'000);
  step.long_running = true;
  Delegation delegation;
  delegation.job = "j1";
  delegation.record.queue = cell.queue.name;
  delegation.record.service = service;
  delegation.record.spec = MovingQueue::MakeJob({step});
  delegation.record.home_cell = 7;
  delegation.record.catalog_version = catalog_version;
  delegation.tasks.emplace_back().number = 1;
  return delegation;
}

// A host kept the service that the home cell had sent, although its own
// configuration was newer.
TEST_CASE("hosted jobs keep the service of an earlier config") {
  MovingQueue cell;
  cell.scheduler.ApplyCatalog(cell.MakeCatalog(2, "others"));
  cell.scheduler.Host(MakeDelegation(cell, "workers", 1), cell.wall_ms,
                      cell.now);
  cell.Flush();
  CHECK(cell.StartsOf(cell.scheduler) == std::vector<std::string>{kNewVm});
}

// Entries read configurations at different times; one that is behind must not
// send jobs back to a service that they have left.
TEST_CASE("an earlier config does not replace the service of a later one") {
  MovingQueue cell;
  SECTION("restored") {
    cell.Accept("j1", MovingQueue::MakeJob({MovingQueue::MakeStep(1, 1'000)}));
    cell.scheduler.ApplyCatalog(cell.MakeCatalog(2, "others"));
    cell.Flush();
    const auto next = cell.TakeOver(1'000);
    CHECK(cell.StartsOf(*next) == std::vector<std::string>{kNewVm});
  }
  SECTION("hosted") {
    cell.scheduler.Host(MakeDelegation(cell, "others", 2), cell.wall_ms,
                        cell.now);
    cell.Flush();
    CHECK(cell.StartsOf(cell.scheduler) == std::vector<std::string>{kNewVm});
  }
}

// Restored jobs kept their priority, and jobs of the same queue differed.
TEST_CASE("a config changes the priority of jobs that were accepted before") {
  MovingQueue cell;
  cell.Accept("j1", MovingQueue::MakeJob({MovingQueue::MakeStep(1, 16'000)}));
  cell.Accept("j2", MovingQueue::MakeJob({MovingQueue::MakeStep(1, 16'000)}));
  Catalog catalog = cell.MakeCatalog(2, "workers");
  catalog.queues[0].priority = 3;
  const auto next = cell.TakeOver(
      1'000, [&](Scheduler& owner) { owner.ApplyCatalog(catalog); });
  CHECK(next->ActiveJobs() == 2);
  next->Cancel("j1", cell.wall_ms);
  CHECK(next->ActiveJobs() == 1);
  catalog.version = 3;
  catalog.queues[0].priority = 1;
  next->ApplyCatalog(catalog);
  CHECK(next->ActiveJobs() == 1);
  next->Cancel("j2", cell.wall_ms);
  CHECK(next->ActiveJobs() == 0);
}

}  // namespace basilspur::jobs
