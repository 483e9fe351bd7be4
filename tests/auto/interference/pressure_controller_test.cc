#include "interference/pressure_controller.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using interference::EvictionBudget;
using interference::InterferenceModel;
using interference::PressureController;
using interference::PressureLimits;
using interference::RunOnVm;
using records::RunRef;

static constexpr PressureLimits kLimits{1.5, 1.3, 2.0, Millis(10'000),
                                        Millis(20'000)};

static const RunRef kNoisy{"noisy", 1};
static const RunRef kQuiet{"quiet", 1};
static const RunRef kUrgent{"urgent", 1};

/// A VM with a noisy, a quiet and an urgent run that sends a report each
/// second.
class ReportingVm {
 public:
  ReportingVm() {
    for (int i = 0; i < 100; ++i) {
      model_.Observe({{"s"}, {{"noisy", 0.1 + 0.002 * i}}},
                     1 + 4 * (0.1 + 0.002 * i));
      model_.Observe({{"s"}, {{"quiet", 0.25}}}, 1.1);
    }
  }

  /// Reports this slowdown for `seconds` and returns the runs that were
  /// evicted.
  std::vector<RunRef> Report(double slowdown, int seconds) {
    std::vector<RunRef> evicted;
    for (int i = 0; i < seconds; ++i) {
      now_ = now_ + Millis(1'000);
      controller_.OnMix({"s"}, runs_, now_);
      const auto run = controller_.OnReport(slowdown, now_ - lag, now_);
      if (run) evicted.push_back(*run);
    }
    return evicted;
  }

  const std::set<RunRef>& Throttled() const { return controller_.Throttled(); }

  Millis lag{3'000};  ///< Age of a measurement when it is reported.

 private:
  std::vector<RunOnVm> runs_{{kNoisy, "noisy", 0.25, false},
                             {kQuiet, "quiet", 0.25, false},
                             {kUrgent, "noisy", 0.25, true}};
  InterferenceModel model_;
  EvictionBudget budget_{60};
  PressureController controller_{kLimits, model_, budget_};
  Millis now_{100'000};
};

TEST_CASE("the run that slows services down most is throttled") {
  ReportingVm vm;
  vm.Report(1.4, 10);
  CHECK(vm.Throttled().empty());
  vm.Report(1.8, 4);
  CHECK(vm.Throttled() == std::set<RunRef>{kNoisy});
}

TEST_CASE("a measurement from before the last action triggers no action") {
  ReportingVm vm;
  vm.lag = Millis(30'000);
  vm.Report(1.8, 5);
  REQUIRE(vm.Throttled() == std::set<RunRef>{kNoisy});
  vm.Report(3, 25);
  CHECK(vm.Throttled() == std::set<RunRef>{kNoisy});
}

TEST_CASE("a throttled run is released after a period of low slowdown") {
  ReportingVm vm;
  vm.Report(1.8, 4);
  REQUIRE(vm.Throttled().size() == 1);
  vm.Report(1.4, 60);
  CHECK(vm.Throttled().size() == 1);
  vm.Report(1.0, 10);
  CHECK(vm.Throttled().size() == 1);
  vm.Report(1.0, 10);
  CHECK(vm.Throttled().empty());
}

TEST_CASE("a run is evicted only if throttling is not sufficient") {
  ReportingVm vm;
  const auto early = vm.Report(2.5, 20);
  CHECK(early.empty());
  CHECK(vm.Throttled().contains(kNoisy));
  const auto late = vm.Report(2.5, 30);
  REQUIRE(!late.empty());
  CHECK(late.front() == kNoisy);
}

TEST_CASE("an urgent run is neither throttled nor evicted") {
  ReportingVm vm;
  for (const auto& run : vm.Report(5, 300)) CHECK(run != kUrgent);
  CHECK(!vm.Throttled().contains(kUrgent));
}

TEST_CASE("the number of evictions per minute is limited") {
  EvictionBudget budget(2);
  CHECK(budget.TryTake(Millis(1'000'000)));
  CHECK(budget.TryTake(Millis(1'000'000)));
  CHECK(!budget.TryTake(Millis(1'020'000)));
  CHECK(budget.TryTake(Millis(1'031'000)));
  CHECK(!budget.TryTake(Millis(1'031'000)));
}
