// An accepted job of one task. The executor that has begun the task crashes a
// fifth of a second later and starts again; so do the next two. No executor
// lists an end `failed`, so the job must not be shown as failed, and has to be
// done in the end.
#include <iostream>
#include <optional>

#include "small_deployment.h"

using basilspur::review::RunCase;
using basilspur::review::SleepMs;
using basilspur::review::SmallDeployment;
using basilspur::review::WithoutTrouble;

static constexpr int kExecutors = 8;
static constexpr int kCrashes = 3;
static constexpr int kTaskMs = 1'500;
static constexpr char kPath[] = "/clip/00000000000000a1";

/// The executor that has started the task for the `count`th time.
static std::optional<int> FindStarter(SmallDeployment& deployment, int count) {
  int starts = 0;
  for (const std::string& line : deployment.RunLines()) {
    if (line.find(" started ") == std::string::npos || ++starts < count)
      continue;
    for (int i = 0; i < kExecutors; ++i) {
      if (line.find(" " + deployment.Executors()[i].id + " ") !=
          std::string::npos)
        return i;
    }
  }
  return std::nullopt;
}

static int Run() {
  SmallDeployment deployment(
      /*entries=*/3, kExecutors, /*cpu_millis=*/4'000,
      {{{"name", "clip"},
        {"host", "jobs.example"},
        {"path_prefix", "/clip/"},
        {"service", "catalogue"},
        {"priority", 0},
        {"attempts", 4},
        {"stretch", 1.5},
        {"slo_ms", 250}}});
  SleepMs(4'000);
  const std::string job = "{\"spec\":\"" + std::to_string(kTaskMs) +
                          "\",\"steps\":[{\"count\":1,\"cpu\":1000,"
                          "\"mem_mb\":256,\"est_ms\":1500}]}";
  if (deployment.Call(0, "POST", kPath, job).status != 200) return 2;
  for (int crash = 1; !WithoutTrouble() && crash <= kCrashes; ++crash) {
    std::optional<int> starter;
    for (int i = 0; i < 1'000 && !starter; ++i) {
      starter = FindStarter(deployment, crash);
      if (!starter) SleepMs(10);
    }
    if (!starter) break;
    SleepMs(200);
    deployment.Crash(*starter);
    SleepMs(1'000);
    deployment.Restart(*starter);
  }
  std::string state;
  for (int i = 0; i < 60; ++i) {
    state = deployment.StateOf(1, kPath);
    if (state == "done" || state == "failed") break;
    SleepMs(500);
  }
  int failed_ends = 0;
  for (const std::string& line : deployment.RunLines()) {
    if (line.ends_with(" failed")) ++failed_ends;
  }
  const std::string verdict = "the job is shown as " + state + "; " +
                              std::to_string(failed_ends) +
                              " ends `failed` were listed, attempts is 4";
  deployment.Note("verdict: " + verdict);
  std::cout << verdict << "\n";
  return state == "done" ? 0 : 1;
}

int main() { return RunCase(Run); }
