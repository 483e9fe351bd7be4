#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <limits>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "system/platform_deployment.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using standins::WorkerStandin;
using system_test::PlatformDeployment;

static constexpr std::uint64_t kFirstSeed = 1;
static constexpr std::uint64_t kSeeds = 1;
static constexpr int kEntries = 3;
static constexpr int kWorkers = 6;
/// With two tasks each, they fill half of the workers.
static constexpr int kJobs = 6;
static constexpr int kTasksPerJob = 2;
/// Some runs end before the owner could count their leases as expired, after
/// 5.2 s, and some are at work then.
static constexpr int kMinRunMs = 3'000;
static constexpr int kMaxRunMs = 9'000;
static constexpr Millis kCutDuration(9'000);
static constexpr Millis kFinishTime(25'000);
static constexpr std::chrono::milliseconds kPollInterval(20);

static std::uint64_t NumberFromEnvironment(const char* name,
                                           std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text ? std::stoull(text) : fallback;
}

static std::string JobId(int number) {
  std::string id = std::to_string(number);
  return std::string(16 - id.size(), '0') + id;
}

static bool WaitUntilAllTasksRun(PlatformDeployment& deployment) {
  const SystemClock clock;
  const Millis deadline = clock.Monotonic() + Millis(kMinRunMs - 1'000);
  std::size_t running = 0;
  while (clock.Monotonic() < deadline) {
    deployment.RunOnStandins([&] {
      running = std::count_if(
          deployment.histories.begin(), deployment.histories.end(),
          [](const auto& entry) { return entry.second.runs_on != nullptr; });
    });
    if (running == kJobs * kTasksPerJob) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

/// Parts the owner from the store, the other entries and some workers, and all
/// other entries from the other workers. The owner keeps idle workers, on which
/// it could start again what runs on the others' workers.
class Partition {
 public:
  Partition(PlatformDeployment& deployment, int owner, std::mt19937_64& random)
      : deployment_(deployment), owner_(owner) {
    deployment_.RunOnStandins([&] {
      std::set<WorkerStandin*> busy;
      for (const auto& [task, history] : deployment_.histories) {
        if (history.runs_on) busy.insert(history.runs_on);
      }
      std::vector<WorkerStandin*> busy_workers;
      std::vector<WorkerStandin*> idle_workers;
      std::int64_t token = 0;
      for (const auto& worker : deployment_.workers) {
        token = std::max(token, worker->HighestToken());
        const bool is_busy = busy.contains(worker.get());
        (is_busy ? busy_workers : idle_workers).push_back(worker.get());
      }
      CutHalf(busy_workers, token, random);
      CutHalf(idle_workers, token, random);
    });
    deployment_.SetCutOff(owner_, true);
  }

  void End() {
    for (const auto& worker : deployment_.workers) {
      worker->min_reachable_token = 0;
      worker->max_reachable_token = std::numeric_limits<std::int64_t>::max();
    }
    deployment_.SetCutOff(owner_, false);
  }

 private:
  /// Successors have higher tokens than the owner.
  static void CutHalf(std::vector<WorkerStandin*>& workers, std::int64_t token,
                      std::mt19937_64& random) {
    std::shuffle(workers.begin(), workers.end(), random);
    for (std::size_t i = 0; i < workers.size(); ++i) {
      if (i < (workers.size() + 1) / 2) {
        workers[i]->max_reachable_token = token;
      } else {
        workers[i]->min_reachable_token = token + 1;
      }
    }
  }

  PlatformDeployment& deployment_;
  int owner_;
};

static std::string Violations(PlatformDeployment& deployment) {
  std::string text;
  deployment.RunOnStandins([&] {
    for (const auto& worker : deployment.workers) {
      for (const std::string& line : worker->violations) text += line + "\n";
    }
  });
  return text;
}

static void PlaySeed(PlatformDeployment& deployment, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<int> run_ms(kMinRunMs, kMaxRunMs);
  deployment.WaitUntilReady();
  for (int job = 0; job < kJobs; ++job) {
    const std::string payload = std::to_string(run_ms(random)) + " 1000";
    REQUIRE(deployment.Submit(job % kEntries, JobId(job), kTasksPerJob,
                              payload) == 200);
  }
  REQUIRE(WaitUntilAllTasksRun(deployment));
  const int owner = deployment.FindOwner();
  REQUIRE(owner >= 0);
  Partition partition(deployment, owner, random);
  std::this_thread::sleep_for(std::chrono::milliseconds(kCutDuration.count));
  // Otherwise no second owner has acted.
  CHECK(deployment.CountInLogs("event=owner_ready") >= 2);
  partition.End();
  for (int job = 0; job < kJobs; ++job) {
    CAPTURE(job);
    CHECK(deployment.WaitForJobState((owner + 1) % kEntries, JobId(job), "done",
                                     kFinishTime));
  }
  CHECK(Violations(deployment) == "");
}

/// Guards against an owner without the store that starts tasks again whose VMs
/// only its successor reaches.
TEST_CASE("an owner cut off with some VMs starts no task twice") {
  const std::uint64_t first =
      NumberFromEnvironment("BASILSPUR_SEED", kFirstSeed);
  const std::uint64_t count = NumberFromEnvironment("BASILSPUR_SEEDS", kSeeds);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    PlatformDeployment deployment(kEntries, kWorkers, /*cells=*/1,
                                  /*relay_peers=*/true);
    INFO("seed " << seed << ", logs in " << deployment.LogFolder());
    PlaySeed(deployment, seed);
  }
}
