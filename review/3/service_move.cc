// A config moves a queue to another service, and the entry that owns the cell
// is killed right after that change. Afterwards the executor of the old service
// leaves, as planned. Accepted jobs have to go on with executors of the new
// service.
#include <nlohmann/json.hpp>
#include <set>

#include "deployment.h"
#include "jobs.h"

using basilspur::Millis;
using review::Deployment;
using review::Sleep;
using Json = nlohmann::json;

static constexpr char kLasting[] = "/q/00000000000000a1";
static constexpr char kSteps[] = "/q/00000000000000a2";
static constexpr int kLastingTasks = 4;

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  const bool trouble = review::HasTrouble();
  review::Record record(argv[1]);
  try {
    Deployment deployment(record, 3);
    deployment.PutConfig(review::MakeConfig(3, "old"));
    // One of 16 executors leaves later: a share of 0.0625.
    const int leaving = deployment.AddExecutor("old", 16000, 64000);
    for (int i = 0; i < 15; ++i) deployment.AddExecutor("new", 16000, 64000);
    for (int i = 0; i < 3; ++i) deployment.StartEntry(i);
    if (!deployment.WaitUntilReady()) {
      record.Write("result   the entries are not ready");
      return 2;
    }
    const std::string lasting = Json{{"spec", "0"},
                                     {"steps",
                                      {{{"count", kLastingTasks},
                                        {"cpu", 1000},
                                        {"mem_mb", 1000},
                                        {"est_ms", 320},
                                        {"long_running", true}}}}}
                                    .dump();
    const std::string steps = Json{
        {"spec", "20000"},
        {"steps",
         {{{"count", 2}, {"cpu", 1000}, {"mem_mb", 1000}, {"est_ms", 20000}},
          {{"count", 2},
           {"cpu", 1000},
           {"mem_mb", 1000},
           {"est_ms", 20000},
           {"deps", {0}}}}}}.dump();
    if (deployment.CallUntilAnswered("POST", kLasting, lasting, 8).status !=
        200)
      return 2;
    Sleep(3'000);
    if (deployment.CallUntilAnswered("POST", kSteps, steps, 8).status != 200)
      return 2;
    // All that waits for the journal is in it long before the kill.
    Sleep(1'000);
    const int owner = deployment.Owner();
    if (owner < 0) return 2;
    record.Write("note     the owner record names entry-" +
                 std::to_string(owner));
    // The owner is killed at once after the change is confirmed (within 4 ms).
    deployment.PutConfig(review::MakeConfig(8, "new"));
    if (trouble) deployment.Kill(owner);
    Sleep(3'000);
    if (trouble) deployment.StartEntry(owner);
    // Long after the config, and after the owner is replaced.
    Sleep(12'000);
    deployment.DrainExecutor(leaving);
    Sleep(8'000);
    deployment.EndExecutor(leaving, Millis(0));
    const double gone_at = record.Now();
    record.Write("note     the executor of the old service has left");
    // finish_s after the end of the traffic.
    Sleep(14'000);
    // The rule's 3 s, and 4 s before them: since when does each task wait?
    double waits_since = gone_at;
    int missing = 0;
    int missing_steps = 0;
    double longest = 0;
    std::set<std::string> at_work;
    for (double until = record.Now() + 5; record.Now() < until; Sleep(100)) {
      missing = missing_steps = 0;
      deployment.RunOnStandins([&] {
        for (int i = 0; i < kLastingTasks; ++i) {
          const std::string task = "00000000000000a1.0.0." + std::to_string(i);
          if (deployment.fleet.running[task] == 0) {
            ++missing;
            waits_since = std::max(gone_at, deployment.fleet.last_run_at[task]);
            longest = std::max(longest, record.Now() - waits_since);
          } else {
            at_work.insert(task);
          }
        }
        for (int i = 0; i < 2; ++i) {
          const std::string task = "00000000000000a2.0.1." + std::to_string(i);
          if (deployment.fleet.running[task] == 0 &&
              deployment.fleet.done[task] == 0)
            ++missing_steps;
        }
      });
    }
    int busy = 0;
    deployment.RunOnStandins([&] {
      for (auto* executor : deployment.fleet.executors)
        if (executor->IsUp()) busy += executor->Runs();
    });
    const std::string state = deployment.StateOf(kLasting);
    const std::string state2 = deployment.StateOf(kSteps);
    record.Write(
        "result   lasting tasks never at work in the last 5 s: " +
        std::to_string(kLastingTasks - static_cast<int>(at_work.size())) +
        " of 4, waiting for " + std::to_string(longest) +
        " s; tasks of the second step that have not run: " +
        std::to_string(missing_steps) +
        " of 2; runs on the 15 "
        "executors of the new service: " +
        std::to_string(busy) + "; states shown: " + state + ", " + state2);
    const bool broken =
        at_work.empty() && missing == kLastingTasks && longest > 6 + 3;
    const bool broken_steps =
        missing_steps == 2 && state2 != "failed" && state2 != "cancelled";
    record.Write(broken || broken_steps ? "result   LOST is broken"
                                        : "result   held");
    return broken || broken_steps ? 1 : 0;
  } catch (const std::exception& error) {
    record.Write(std::string("result   could not run: ") + error.what());
    return 2;
  }
}
