// Jobs that need a label, or several VMs at once, which their home cell lacks.
#include <catch2/catch.hpp>
#include <string>

#include "sim/simulated_cell.h"

using namespace basilspur;       // NOLINT(google-build-using-namespace)
using namespace basilspur::sim;  // NOLINT(google-build-using-namespace)

static constexpr std::uint64_t kSeed = 3;
static constexpr int kNodes = 4;
static constexpr int kCells = 4;
static constexpr int kFullSpeed = 100;
static constexpr Millis kNoDelay(0);
/// A VM has room for two of them.
static constexpr std::int64_t kTaskCpuMillis = 3'500;
static constexpr Millis kMaxGap(3'000);
/// The rack of the last cell's VM, which no other VM has.
static const std::string kLabel = "3";

/// Returns the id of a job whose home is the first cell.
static std::string MakeJobId() {
  int number = 0;
  while (CellOfJob("job" + std::to_string(number), kCells) != 0) ++number;
  return "job" + std::to_string(number);
}

static jobs::JobSpec MakeJob(const std::string& label, const char* payload) {
  jobs::JobSpec spec;
  spec.payload = payload;
  jobs::StepSpec& step = spec.steps.emplace_back();
  step.count = 1;
  step.need = {kTaskCpuMillis, 500, 0};
  step.required_label = label;
  return spec;
}

/// One VM in each cell but the last one.
static void StartCells(SimulatedCell& cell) {
  cell.ListVm(cell.StartVm("a", kFullSpeed, 0), kNoDelay);
  cell.ListVm(cell.StartVm("b", kFullSpeed, 1), kNoDelay);
  cell.ListVm(cell.StartVm("c", kFullSpeed, 2), kNoDelay);
  REQUIRE(cell.RunUntil([&] { return cell.IsOwnerReady(); }, Millis(8'000)));
  cell.RunFor(Millis(2'500));
}

/// The VM with the label has less room than those of the other cells.
static void ListVmWithLabel(SimulatedCell& cell) {
  const std::string vm = cell.StartVm("d", kFullSpeed, 3);
  cell.ListVm(vm, kNoDelay);
  cell.ResizeVm(vm, {kTaskCpuMillis, 64'000, 0});
  cell.RunFor(Millis(2'500));
}

static int StartsOf(SimulatedCell& cell, const std::string& job) {
  return cell.Checker().StartsOf({job, 0, 0, 0});
}

static std::string Report(SimulatedCell& cell) {
  std::string text;
  for (const std::string& line : cell.Events().Lines()) text += line + "\n";
  return text;
}

/// The cell of a new job was chosen without regard to labels, and the job
/// waited for good where no VM had the label.
TEST_CASE("a job that requires a label runs in a cell that has it") {
  SimulatedCell cell(kSeed, kNodes, kCells);
  StartCells(cell);
  ListVmWithLabel(cell);
  const std::string job = MakeJobId();
  cell.Submit(job, MakeJob(kLabel, "500"));
  cell.RunFor(kMaxGap);
  INFO(Report(cell));
  CHECK(StartsOf(cell, job) == 1);
  CHECK(cell.Checker().Violations().empty());
}

/// Tasks that end and require a label were never delegated.
TEST_CASE("a labelled task that waits runs in a cell that gets the label") {
  SimulatedCell cell(kSeed, kNodes, kCells);
  StartCells(cell);
  const std::string job = MakeJobId();
  cell.Submit(job, MakeJob(kLabel, "500"));
  cell.RunFor(Millis(1'000));
  REQUIRE(StartsOf(cell, job) == 0);
  ListVmWithLabel(cell);
  cell.RunFor(kMaxGap);
  INFO(Report(cell));
  CHECK(StartsOf(cell, job) == 1);
  CHECK(cell.Checker().Violations().empty());
}

/// The host was chosen by its free room alone, so that the task went to and fro
/// between two cells without the label.
TEST_CASE("a labelled task that lasts doesn't wander between other cells") {
  SimulatedCell cell(kSeed, kNodes, kCells);
  StartCells(cell);
  const std::string job = MakeJobId();
  jobs::JobSpec spec = MakeJob(kLabel, "0");
  spec.steps[0].long_running = true;
  cell.Submit(job, spec);
  cell.RunFor(Millis(4'000));
  REQUIRE(StartsOf(cell, job) == 0);
  ListVmWithLabel(cell);
  cell.RunFor(kMaxGap);
  INFO(Report(cell));
  CHECK(cell.Checker().IsRunning({job, 0, 0, 0}));
  CHECK(cell.Checker().Violations().empty());
}

/// Gangs never leave their cell, and it was chosen without regard to their
/// size.
TEST_CASE("a gang runs in a cell that is large enough for it") {
  SimulatedCell cell(kSeed, kNodes, kCells);
  StartCells(cell);
  cell.ListVm(cell.StartVm("e", kFullSpeed, 1), kNoDelay);
  cell.RunFor(Millis(2'500));
  const std::string job = MakeJobId();
  jobs::JobSpec spec = MakeJob("", "500");
  spec.steps[0].count = 4;
  spec.steps[0].gang = true;
  cell.Submit(job, spec);
  cell.RunFor(kMaxGap);
  INFO(Report(cell));
  CHECK(StartsOf(cell, job) == 1);
  CHECK(cell.Checker().Violations().empty());
}

/// Gangs never left their cell, and one that had been accepted stayed in a cell
/// that had lost VMs since.
TEST_CASE("a gang whose cell loses VMs runs in a cell that can hold it") {
  SimulatedCell cell(kSeed, kNodes, kCells);
  StartCells(cell);
  const std::string lost = cell.StartVm("e", kFullSpeed, 1);
  cell.ListVm(lost, kNoDelay);
  cell.RunFor(Millis(2'500));
  // Fills the only cell that can hold the gang.
  jobs::JobSpec filler = MakeJob("1", "60000");
  filler.steps[0].count = 4;
  cell.Submit("filler", filler);
  cell.RunFor(Millis(1'000));
  const std::string job = MakeJobId();
  jobs::JobSpec spec = MakeJob("", "500");
  spec.steps[0].count = 4;
  spec.steps[0].gang = true;
  cell.Submit(job, spec);
  cell.RunFor(Millis(1'000));
  REQUIRE(cell.Checker().Accepted().contains(job));
  REQUIRE(StartsOf(cell, job) == 0);
  cell.TerminateVm(lost);
  cell.UnlistVm(lost, kNoDelay);
  cell.ListVm(cell.StartVm("f", kFullSpeed, 2), kNoDelay);
  cell.RunFor(kMaxGap);
  INFO(Report(cell));
  CHECK(StartsOf(cell, job) == 1);
  CHECK(cell.Checker().Violations().empty());
}
