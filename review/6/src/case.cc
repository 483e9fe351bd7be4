// Nine entries, three executors with 64 channels each, and large jobs (three
// times as wide as the executors' slots). The entry that owns the jobs freezes
// for 3.2 s and wakes again; so does the next one, and so on. Afterwards
// all is calm, and small jobs are handed in.
#include <chrono>
#include <cstdint>
#include <iostream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "small_deployment.h"

using basilspur::review::RunCase;
using basilspur::review::SleepMs;
using basilspur::review::SmallDeployment;
using basilspur::review::WithoutTrouble;

static constexpr int kEntries = 9;
static constexpr int kExecutors = 3;
/// With up to 12 connections each they take up 64 channels.
static constexpr std::size_t kFormerOwners = 6;
static constexpr std::chrono::seconds kTrouble(70);
static constexpr int kFreezeMs = 3'200;
/// A task begins within some ms in calm.
static constexpr int kBeginMs = 3'000;
static constexpr int kFinishMs = 14'000;  ///< finish_s
static constexpr int kIdleMs = 3'000;     ///< For which nothing of a job runs.
static constexpr int kCpuMillis = 32'000;
static constexpr int kTaskCpuMillis = 1'000;
static constexpr int kLastJobs = 4;

static std::string IdOf(std::uint64_t number) {
  std::ostringstream id;
  id << std::hex << number;
  return id.str();
}

/// Submits a job. Returns whether it was accepted by the third attempt.
static bool Submit(SmallDeployment& deployment, const std::string& id,
                   int tasks) {
  const std::string body =
      "{\"spec\":\"400\",\"steps\":[{\"count\":" + std::to_string(tasks) +
      ",\"cpu\":1000,\"mem_mb\":256,\"est_ms\":400,\"max_per_server\":12}]}";
  for (int attempt = 0; attempt < 3; ++attempt) {
    // A frozen entry gives no answer.
    for (int entry = 0; entry < kEntries; ++entry) {
      if (entry == deployment.FrozenEntry()) continue;
      const auto answer = deployment.Call(entry, "POST", "/clip/" + id, body);
      if (answer.status == 200) return true;
      SleepMs(300);
    }
  }
  return false;
}

/// Hands in a large job a second for a while.
static void SendLargeJobs(SmallDeployment& deployment, int count) {
  static std::uint64_t number = 0xa000000000000000ULL;
  for (int i = 0; i < count; ++i) {
    Submit(deployment, IdOf(++number), /*tasks=*/36);
    SleepMs(900);
  }
}

/// Whether a task of the job has been started.
static bool HasBegun(const SmallDeployment& deployment, const std::string& id) {
  for (const std::string& line : deployment.RunLines()) {
    if (line.find(" started " + id + ".") != std::string::npos) return true;
  }
  return false;
}

/// Whether the present owner starts a small job within kBeginMs.
static bool ServesSmallJob(SmallDeployment& deployment) {
  static std::uint64_t number = 0xb000000000000000ULL;
  const std::string id = IdOf(++number);
  if (!Submit(deployment, id, /*tasks=*/1)) return false;
  for (int waited_ms = 0; waited_ms < kBeginMs; waited_ms += 100) {
    if (HasBegun(deployment, id)) return true;
    SleepMs(100);
  }
  return false;
}

/// Freezes owner after owner, until one that has not frozen yet, after at least
/// kFormerOwners others, serves no job.
static void FreezeOwners(SmallDeployment& deployment) {
  const auto until = std::chrono::steady_clock::now() + kTrouble;
  std::set<int> former_owners;
  while (std::chrono::steady_clock::now() < until) {
    const int owner = deployment.FindOwner();
    if (owner < 0) return;
    deployment.SetFrozen(owner, true);
    SleepMs(kFreezeMs);
    deployment.SetFrozen(owner, false);
    former_owners.insert(owner);
    SendLargeJobs(deployment, 1);
    const bool others_are_enough = former_owners.size() >= kFormerOwners;
    if (!others_are_enough || former_owners.contains(deployment.FindOwner()))
      continue;
    if (!ServesSmallJob(deployment)) return;
  }
}

/// Whether under half of the executors' processors is in use, and room for a
/// task twice over is left. All tasks need as much.
static bool HasRoom(const SmallDeployment& deployment) {
  std::set<std::string> runs;
  for (const std::string& line : deployment.RunLines()) {
    std::istringstream words(line);
    std::string at, executor, event, task, word, number;
    words >> at >> executor >> event >> task >> word >> number;
    const std::string run = executor + task + "/" + number;
    if (event == "started") runs.insert(run);
    if (event == "ended") runs.erase(run);
  }
  const int used = static_cast<int>(runs.size()) * kTaskCpuMillis;
  const int all = kExecutors * kCpuMillis;
  return 2 * used < all && all - used >= 2 * kTaskCpuMillis;
}

static int Run() {
  SmallDeployment deployment(kEntries, kExecutors, kCpuMillis,
                             {{{"name", "clip"},
                               {"host", "jobs.example"},
                               {"path_prefix", "/clip/"},
                               {"service", "catalogue"},
                               {"priority", 0},
                               {"attempts", 4},
                               {"stretch", 1.5},
                               {"slo_ms", 250}}});
  SleepMs(3'000);
  SendLargeJobs(deployment, 2);
  if (!WithoutTrouble()) FreezeOwners(deployment);
  // contact_ms and more, so that all machines are in touch.
  SleepMs(4'000);
  deployment.Note("all is calm");
  std::vector<std::string> last_jobs;
  for (int i = 1; i <= kLastJobs; ++i) {
    last_jobs.push_back(IdOf(0xc000000000000000ULL + i));
    if (!Submit(deployment, last_jobs.back(), /*tasks=*/1)) return 2;
  }
  SleepMs(kFinishMs);
  const bool had_room = HasRoom(deployment);
  SleepMs(kIdleMs);
  const bool has_room = had_room && HasRoom(deployment);
  deployment.Note(std::string("the executors have ") + (has_room ? "" : "no ") +
                  "room twice over, under half of them in use");
  int lost = 0;
  for (const std::string& id : last_jobs) {
    const std::string state = deployment.StateOf(0, "/clip/" + id);
    const bool begun = HasBegun(deployment, id) || state == "done";
    if (has_room && !begun) ++lost;
  }
  const std::string verdict =
      std::to_string(lost) + " of " + std::to_string(kLastJobs) +
      " jobs that were accepted in calm have not begun 17 s later, though the "
      "executors are idle";
  deployment.Note("verdict: " + verdict);
  std::cout << verdict << "\n";
  return lost > 0 ? 1 : 0;
}

int main() { return RunCase(Run); }
