#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include "soak/soak_run.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using namespace soak;       // NOLINT(google-build-using-namespace)

/// The seeds of CI: planned work alone and with faults, with and without a
/// lower limit of serving entries, and one run with 40 entries. Seeds 6 and 8
/// have cut requests at the end of stops.
static constexpr std::uint64_t kFirstSeed = 5;
static constexpr std::uint64_t kSeeds = 4;

static std::uint64_t NumberFromEnvironment(const char* name,
                                           std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text ? std::stoull(text) : fallback;
}

static SoakOptions OptionsFromEnvironment() {
  SoakOptions options;
  const auto duration = static_cast<std::uint64_t>(options.duration.count);
  options.duration = Millis(static_cast<std::int64_t>(
      NumberFromEnvironment("BASILSPUR_SOAK_MS", duration)));
  options.entries =
      static_cast<int>(NumberFromEnvironment("BASILSPUR_SOAK_ENTRIES", 0));
  const char* faults = std::getenv("BASILSPUR_SOAK_FAULTS");
  if (faults) options.faults = faults;
  return options;
}

/// The command that plays a seed again.
static std::string Command(std::uint64_t seed, const SoakOptions& options) {
  std::string command =
      "BASILSPUR_SEED=" + std::to_string(seed) +
      " BASILSPUR_SEEDS=1 BASILSPUR_SOAK_MS=" +
      std::to_string(options.duration.count) +
      " BASILSPUR_SOAK_ENTRIES=" + std::to_string(options.entries);
  if (!options.faults.empty()) {
    command += " BASILSPUR_SOAK_FAULTS=" + options.faults;
  }
  return command + " build/tests/test_stop_series";
}

/// The users' machines have no disk. On a busy one, a process that writes its
/// log to a file waits for seconds in the kernel, and signals wait with it.
static constexpr char kMemoryFolder[] = "/dev/shm";

TEST_CASE("overlapping series of stops lose no request and no job") {
  // Requests were cut without an answer while entries were stopped in
  // overlapping series, each a few seconds after its entry's SIGTERM.
  const std::uint64_t first =
      NumberFromEnvironment("BASILSPUR_SEED", kFirstSeed);
  const std::uint64_t count = NumberFromEnvironment("BASILSPUR_SEEDS", kSeeds);
  const SoakOptions options = OptionsFromEnvironment();
  if (std::filesystem::exists(kMemoryFolder)) {
    setenv("TMPDIR", kMemoryFolder, /*replace=*/0);
  }
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const SoakPlan plan = MakePlan(seed, options);
    SoakRun run(plan);
    const std::vector<std::string> findings = run.Play();
    std::cout << run.Summary() << std::endl;
    if (findings.empty()) {
      std::filesystem::remove_all(run.LogFolder());
      continue;
    }
    std::string text;
    for (const std::string& finding : findings) text += finding + "\n";
    FAIL_CHECK("seed " << seed << ", logs in " << run.LogFolder() << "\n"
                       << Command(seed, options) << "\n"
                       << text);
  }
}
