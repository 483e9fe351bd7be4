#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <set>
#include <string>

#include "sim/simulated_cell.h"

using namespace basilspur;       // NOLINT(google-build-using-namespace)
using namespace basilspur::sim;  // NOLINT(google-build-using-namespace)

static constexpr int kNodes = 3;
static constexpr int kVms = 6;
static constexpr std::uint64_t kSeeds = 12;
static constexpr Millis kFaultTime(25'000);
static constexpr Millis kCalm(25'000);
static constexpr Millis kNoDelay(0);
static constexpr Millis kPollInterval(50);
/// An entry that owns the cell again within this time returns.
static constexpr Millis kMaxReturn(5'000);
static constexpr Millis kGrace(3'000);

static std::uint64_t FromEnvironment(const char* name, std::uint64_t other) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : other;
}

/// How an owner loses its cell.
enum class Loss {
  kSilentStore,
  kSilentStoreAndPeers,
  kStepDown,
  kYield,
  kTermination,
  kFreeze,
};
static constexpr std::uint64_t kLosses = 6;

/// Lets one entry lose its cell and own it again within seconds, with owners of
/// short duration in between, while appends are lost or late and nodes do not
/// reach some VMs.
class ReturningOwner {
 public:
  /// Precondition: `cell` outlives the object, and the object the cell's runs.
  explicit ReturningOwner(SimulatedCell& cell)
      : cell_(cell), entry_(cell.Owner()) {}

  void Start(Millis duration) {
    cell_.Spawn(Submit(duration));
    cell_.Spawn(ChangeOwners(duration));
    cell_.Spawn(CutVms(duration));
    cell_.Spawn(Watch(duration));
  }
  void EndAll() {
    ended_ = true;
    for (int node = 0; node < cell_.NodeCount(); ++node) {
      cell_.Faults(node) = {};
      cell_.SetFrozen(node, false);
      if (!cell_.IsAlive(node)) cell_.StartNode(node);
      cell_.StartContactTime(node);
    }
  }
  /// How often the entry has owned the cell again within kMaxReturn.
  int Returns() const { return returns_; }

 private:
  Millis Between(int min_ms, int max_ms) {
    const auto range = static_cast<std::uint64_t>(max_ms - min_ms);
    return Millis(min_ms +
                  static_cast<std::int64_t>(cell_.Randomness().Below(range)));
  }
  bool Chance(double probability) {
    return cell_.Randomness().Chance(probability);
  }

  net::asio::awaitable<void> Submit(Millis duration) {
    for (int job = 0; duration > kNoDelay; ++job) {
      jobs::JobSpec spec;
      spec.payload = std::to_string(500 + cell_.Randomness().Below(4'500));
      const int steps = Chance(0.3) ? 2 : 1;
      for (int step = 0; step < steps; ++step) {
        jobs::StepSpec& made = spec.steps.emplace_back();
        made.count = 1 + static_cast<int>(cell_.Randomness().Below(4));
        made.need = {
            500 + static_cast<std::int64_t>(cell_.Randomness().Below(1'000)),
            500, 0};
        if (step > 0) made.dependencies = {step - 1};
      }
      cell_.Submit("job" + std::to_string(job), spec);
      const Millis pause = Between(150, 700);
      duration = duration - pause;
      co_await net::Sleep(pause);
      if (ended_) co_return;
    }
  }

  /// Counts the returns of the entry.
  net::asio::awaitable<void> Watch(Millis duration) {
    Millis away;
    for (Millis passed; passed < duration; passed = passed + kPollInterval) {
      const int owner = cell_.Owner();
      const bool owns = owner == entry_;
      if (owns && replaced_ && away <= kMaxReturn) ++returns_;
      if (owns) {
        away = kNoDelay;
        replaced_ = false;
      } else {
        away = away + kPollInterval;
        if (owner >= 0) replaced_ = true;
      }
      co_await net::Sleep(kPollInterval);
      if (ended_) co_return;
    }
  }

  net::asio::awaitable<void> ChangeOwners(Millis duration) {
    while (duration > kNoDelay) {
      const Millis pause = Between(100, 1'200);
      duration = duration - pause;
      co_await net::Sleep(pause);
      if (ended_) co_return;
      const int owner = cell_.Owner();
      if (owner < 0 || !cell_.IsOwnerReady()) continue;
      const auto loss = static_cast<Loss>(cell_.Randomness().Below(kLosses));
      // The others leave the cell to the entry soon.
      const bool gives_up = owner != entry_ && Chance(0.7);
      cell_.Spawn(Lose(owner, gives_up ? Loss::kYield : loss));
    }
  }

  net::asio::awaitable<void> Lose(int node, Loss loss) {
    if (!cell_.IsAlive(node)) co_return;
    switch (loss) {
      case Loss::kSilentStore:
        co_return co_await Silence(node, /*peers=*/false,
                                   Between(2'300, 6'000));
      case Loss::kSilentStoreAndPeers:
        co_return co_await Silence(node, /*peers=*/true, Between(2'300, 6'000));
      case Loss::kStepDown: {
        cell::CellMember& member = cell_.Node(node).Member(0);
        if (!member.KnownOwner() || cell_.Node(node).frozen) co_return;
        cell_.Events().Add("step-down request to node" + std::to_string(node));
        member.OnStepDownRequest(member.KnownOwner()->token + 1);
        co_return;
      }
      case Loss::kYield: {
        // Those of the hand-over may be lost or late.
        if (Chance(0.5)) cell_.Spawn(LoseAppends(node, Between(300, 2'500)));
        cell_.Events().Add("node" + std::to_string(node) + " yields");
        SimulatedNode& process = cell_.Node(node);
        net::asio::co_spawn(
            process.Context(),
            process.Member(0).Yield(Between(200, 4'000), "a test asks for it"),
            net::asio::detached);
        co_return;
      }
      case Loss::kTermination:
        if (Chance(0.5)) cell_.Spawn(LoseAppends(node, Between(300, 2'500)));
        cell_.TerminateNode(node, kGrace);
        co_await net::Sleep(Between(1'000, 4'000));
        while (cell_.IsAlive(node)) co_await net::Sleep(kPollInterval);
        cell_.StartNode(node);
        co_return;
      case Loss::kFreeze:
        cell_.SetFrozen(node, true);
        co_await net::Sleep(Between(2'200, 6'000));
        cell_.SetFrozen(node, false);
        cell_.StartContactTime(node);
        co_return;
    }
  }

  net::asio::awaitable<void> Silence(int node, bool peers, Millis duration) {
    cell_.Events().Add("node" + std::to_string(node) + " without the store" +
                       (peers ? " and peers" : ""));
    cell_.Faults(node).store = StoreAccess::kSilent;
    cell_.Faults(node).peers_cut = peers;
    co_await net::Sleep(duration);
    EndStoreFault(node);
  }

  net::asio::awaitable<void> LoseAppends(int node, Millis duration) {
    if (cell_.Faults(node).store != StoreAccess::kNormal) co_return;
    cell_.Events().Add("node" + std::to_string(node) + " loses appends");
    cell_.Faults(node).store = StoreAccess::kLosesCalls;
    co_await net::Sleep(duration);
    EndStoreFault(node);
  }

  void EndStoreFault(int node) {
    cell_.Events().Add("node" + std::to_string(node) + " has the store");
    cell_.Faults(node).store = StoreAccess::kNormal;
    cell_.Faults(node).peers_cut = false;
    cell_.StartReadingTime(node);
    cell_.StartContactTime(node);
  }

  /// Cuts some VMs from some nodes, or lets calls to them be lost or late.
  net::asio::awaitable<void> CutVms(Millis duration) {
    while (duration > kNoDelay) {
      const Millis pause = Between(500, 3'000);
      duration = duration - pause;
      co_await net::Sleep(pause);
      if (ended_) co_return;
      const int node = static_cast<int>(cell_.Randomness().Below(kNodes));
      cell_.Spawn(CutVmsFrom(node, Chance(0.3), Between(500, 8'000)));
    }
  }

  net::asio::awaitable<void> CutVmsFrom(int node, bool lossy, Millis duration) {
    LinkFaults& faults = cell_.Faults(node);
    std::set<std::string>& harmed = lossy ? faults.lossy_vms : faults.cut_vms;
    if (!harmed.empty()) co_return;
    for (const std::string& vm : cell_.Vms()) {
      if (!Chance(0.4)) continue;
      harmed.insert(vm);
      cell_.Events().Add("node" + std::to_string(node) +
                         (lossy ? " loses calls to " : " cut from ") + vm);
    }
    co_await net::Sleep(duration);
    harmed.clear();
    cell_.Events().Add("node" + std::to_string(node) + " reaches its VMs");
    cell_.StartContactTime(node);
  }

  SimulatedCell& cell_;
  int entry_;
  int returns_ = 0;
  bool replaced_ = false;  ///< Another entry owned the cell since.
  bool ended_ = false;
};

static void Print(std::uint64_t seed, SimulatedCell& cell) {
  if (FromEnvironment("BASILSPUR_TRACE", 0) > 0) {
    for (const std::string& line : cell.Events().Lines())
      std::cout << line << "\n";
  }
  for (const std::string& violation : cell.Checker().Violations())
    std::cout << "seed " << seed << " " << violation << "\n";
}

/// Returns how often an entry owned its cell again within seconds.
static int ChangeOwnersOften(std::uint64_t seed) {
  SimulatedCell cell(seed, kNodes);
  for (int vm = 0; vm < kVms; ++vm) {
    const int clock_percent = 98 + static_cast<int>(cell.Randomness().Below(3));
    cell.ListVm(cell.StartVm("vm" + std::to_string(vm), clock_percent),
                kNoDelay);
  }
  REQUIRE(cell.RunUntil([&] { return cell.IsOwnerReady(); }, Millis(10'000)));
  ReturningOwner returning_owner(cell);
  returning_owner.Start(kFaultTime);
  cell.RunFor(kFaultTime);
  returning_owner.EndAll();
  cell.RunFor(kCalm);
  cell.CheckAfterCalm();
  Print(seed, cell);
  CHECK(cell.Checker().Violations().empty());
  return returning_owner.Returns();
}

/// Guards against an owner that knows less than its predecessor did, and so
/// starts tasks again that are done or at work.
TEST_CASE(
    "an entry that owns a cell again within seconds starts no task twice") {
  const std::uint64_t first = FromEnvironment("BASILSPUR_SEED", 1);
  const std::uint64_t count = FromEnvironment("BASILSPUR_SEEDS", kSeeds);
  int returns = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    returns += ChangeOwnersOften(seed);
  }
  std::cout << "entries that owned a cell again: " << returns << "\n";
  // Otherwise the simulation shows nothing.
  CHECK(returns >= static_cast<int>(count));
}
