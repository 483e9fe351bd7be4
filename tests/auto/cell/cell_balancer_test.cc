#include "cell/cell_balancer.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static constexpr int kCells = 6;
static constexpr std::int64_t kCapacity = 1'000'000;

static jobs::JobSpec MakeJob(std::int64_t cpu_millis, int count,
                             bool best_effort) {
  jobs::StepSpec step;
  step.count = count;
  step.need.cpu_millis = cpu_millis;
  step.best_effort = best_effort;
  jobs::JobSpec job;
  job.steps = {step};
  return job;
}

static CellBalancer MakeBalancer(std::int64_t charged) {
  CellBalancer balancer(kCells);
  for (int cell = 0; cell < kCells; ++cell) {
    balancer.OnLoad(cell, {kCapacity, charged, 0, 0});
  }
  return balancer;
}

static std::string IdOf(int number) { return "job-" + std::to_string(number); }

TEST_CASE("a job stays in its home cell while loads are equal") {
  CellBalancer balancer = MakeBalancer(500'000);
  for (int i = 0; i < 20; ++i) {
    CHECK(balancer.ChooseCell(i % kCells, IdOf(i), MakeJob(500, 2, false)) ==
          i % kCells);
  }
}

TEST_CASE("a job stays in its home cell while no load is known") {
  CellBalancer balancer(kCells);
  CHECK(balancer.ChooseCell(2, IdOf(1), MakeJob(5'000, 20, false)) == 2);
}

TEST_CASE("wide jobs with the same home cell spread over all cells") {
  CellBalancer balancer = MakeBalancer(500'000);
  std::vector<int> taken(kCells);
  for (int i = 0; i < 60; ++i) {
    ++taken[balancer.ChooseCell(0, IdOf(i), MakeJob(6'000, 5, false))];
  }
  for (const int jobs : taken) {
    CHECK(jobs >= 5);
    CHECK(jobs <= 20);
  }
}

TEST_CASE("a full cell moves no job to one that is as full") {
  CellBalancer balancer = MakeBalancer(980'000);
  balancer.OnLoad(3, {kCapacity, 400'000, 0, 0});
  for (int i = 0; i < 30; ++i) {
    balancer.OnLoad(0, {kCapacity, 980'000, 0, 0});
    const int cell = balancer.ChooseCell(0, IdOf(i), MakeJob(6'000, 5, false));
    CHECK((cell == 0 || cell == 3));
  }
}

TEST_CASE("best-effort jobs are assigned by the load of best-effort work") {
  CellBalancer balancer = MakeBalancer(500'000);
  balancer.OnLoad(0, {kCapacity, 500'000, 0, 600'000});
  int moved = 0;
  for (int i = 0; i < 10; ++i) {
    if (balancer.ChooseCell(0, IdOf(i), MakeJob(1'800, 8, true)) != 0) ++moved;
  }
  CHECK(moved == 10);
  CHECK(balancer.ChooseCell(0, IdOf(99), MakeJob(1'800, 8, false)) == 0);
}

TEST_CASE("a cell with an unknown load gets no jobs of other cells") {
  CellBalancer balancer = MakeBalancer(980'000);
  balancer.OnLoad(3, {});
  for (int i = 0; i < 20; ++i) {
    CHECK(balancer.ChooseCell(0, IdOf(i), MakeJob(6'000, 5, false)) != 3);
  }
}

TEST_CASE("a task without a place goes to the cell with the largest room") {
  CellBalancer balancer = MakeBalancer(500'000);
  const records::Resources need{3'500, 1'000, 0};
  CHECK(!balancer.ChooseHost(0, need, -1));
  CellLoad load{kCapacity, 500'000, 0, 0};
  load.largest_room = {9'000, 4'000, 0};
  balancer.OnLoad(0, load);
  load.largest_room = {4'000, 4'000, 0};
  balancer.OnLoad(2, load);
  load.largest_room = {8'000, 4'000, 0};
  balancer.OnLoad(4, load);
  CHECK(balancer.ChooseHost(0, need, -1) == 4);
  // What was given away counts until the cell publishes its load again.
  CHECK(balancer.ChooseHost(0, need, -1) == 4);
  CHECK(balancer.ChooseHost(0, need, -1) == 2);
  CHECK(!balancer.ChooseHost(0, need, -1));
  balancer.OnLoad(4, load);
  CHECK(!balancer.ChooseHost(0, need, /*excluded=*/4));
}

/// Guards against jobs that wait in a cell whose data centers are all closed,
/// although its published capacity is 0 as if the load were unknown.
TEST_CASE("a job leaves a home cell that accepts no work") {
  CellBalancer balancer = MakeBalancer(500'000);
  CellLoad closed;
  closed.closed = true;
  balancer.OnLoad(0, closed);
  for (int i = 0; i < 20; ++i)
    CHECK(balancer.ChooseCell(0, IdOf(i), MakeJob(500, 2, i % 2 == 0)) != 0);
  // No job moves to it.
  for (int i = 0; i < 20; ++i)
    CHECK(balancer.ChooseCell(1, IdOf(i), MakeJob(500, 2, false)) != 0);
}

TEST_CASE("a job stays in its closed home cell if all others are closed") {
  CellBalancer balancer(kCells);
  CellLoad closed;
  closed.closed = true;
  for (int cell = 0; cell < kCells; ++cell) balancer.OnLoad(cell, closed);
  CHECK(balancer.ChooseCell(3, IdOf(1), MakeJob(500, 2, false)) == 3);
  CHECK(!balancer.ChooseHost(3, {500, 500, 0}, -1));
}

TEST_CASE("a task that ends goes to the next cell that publishes room for it") {
  CellBalancer balancer = MakeBalancer(500'000);
  const records::Resources need{3'500, 1'000, 0};
  CHECK(!balancer.HasRoomElsewhere(5));
  CellLoad load{kCapacity, 500'000, 0, 0};
  // An entry of an earlier version can't host tasks that end.
  load.largest_room = {16'000, 64'000, 0};
  balancer.OnLoad(1, load);
  CHECK(!balancer.HasRoomElsewhere(5));
  load.rooms = {{8'000, 4'000, 0}, {3'600, 4'000, 0}};
  balancer.OnLoad(2, load);
  load.rooms = {{16'000, 64'000, 0}};
  balancer.OnLoad(4, load);
  CHECK(balancer.HasRoomElsewhere(5));
  // A wide step fills one host before it goes on to the next one.
  for (int task = 0; task < 3; ++task)
    CHECK(balancer.ChooseHostOfShortTask(5, need, -1) == 2);
  for (int task = 0; task < 4; ++task)
    CHECK(balancer.ChooseHostOfShortTask(5, need, -1) == 4);
  CHECK(!balancer.ChooseHostOfShortTask(5, need, -1));
  balancer.OnLoad(4, load);
  CHECK(!balancer.ChooseHostOfShortTask(5, need, /*excluded=*/4));
}

/// The host of a labelled task was chosen by free room alone.
TEST_CASE("the host of a labelled task has a VM with the label") {
  CellBalancer balancer = MakeBalancer(0);
  CellLoad load{kCapacity, 0, 0, 0, {64'000, 64'000, 0}};
  balancer.OnLoad(1, load);
  load.largest_room = {16'000, 64'000, 0};
  load.label_rooms = {{"disk", {4'000, 8'000, 0}}};
  balancer.OnLoad(2, load);
  const records::Resources need{3'000, 1'000, 0};
  CHECK(!balancer.ChooseHostWithLabel(0, need, "other", -1));
  CHECK(!balancer.ChooseHostWithLabel(0, need, "disk", 2));
  CHECK(balancer.ChooseHostWithLabel(0, need, "disk", -1) == 2);
  // The room counts as taken.
  CHECK(!balancer.ChooseHostWithLabel(0, need, "disk", -1));
}

TEST_CASE("a job goes only to eligible cells, and stays if it can") {
  CellBalancer balancer = MakeBalancer(500'000);
  balancer.OnLoad(3, {kCapacity, 0, 0, 0});
  for (int i = 0; i < 30; ++i) {
    const jobs::JobSpec job = MakeJob(500, 2, false);
    CHECK(balancer.ChooseCell(0, IdOf(i), job, {2, 4}) % 2 == 0);
    CHECK(balancer.ChooseCell(0, IdOf(i), job, {2, 4}) > 0);
    CHECK(balancer.ChooseCell(0, IdOf(i), job, {0, 1}) <= 1);
  }
}
