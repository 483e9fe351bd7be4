// Two racks have executors of kind "g". Those of one rack are lost for good.
// Jobs that require the label "g" have to run on the other rack.
#include <nlohmann/json.hpp>

#include "deployment.h"
#include "jobs.h"

using basilspur::Millis;
using review::Deployment;
using review::Sleep;
using Json = nlohmann::json;

static constexpr int kRacks = 8;
static constexpr int kExecutorsPerRack = 21;
static constexpr int kLabelled = 12;  // On each of the first two racks.
static constexpr int kJobs = 24;

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  const bool trouble = review::HasTrouble();
  review::Record record(argv[1]);
  try {
    Deployment deployment(record, 3);
    deployment.PutConfig(review::MakeConfig(3, "old"));
    std::vector<int> lost;
    for (int rack = 1; rack <= kRacks; ++rack) {
      for (int i = 0; i < kExecutorsPerRack; ++i) {
        const bool labelled = rack <= 2 && i < kLabelled;
        const int index =
            deployment.AddExecutor("old", 16000, 64000, labelled ? "g" : "a",
                                   "r1-" + std::to_string(rack));
        if (labelled && rack == 1) lost.push_back(index);
      }
    }
    for (int i = 0; i < 3; ++i) deployment.StartEntry(i);
    if (!deployment.WaitUntilReady()) return 2;
    const auto path = [](int i) {
      char id[17];
      std::snprintf(id, sizeof id, "%016x", 0x5c0e + i * 7919);
      return "/q/" + std::string(id);
    };
    const Json step = {{"count", 2},
                       {"cpu", 1000},
                       {"mem_mb", 1000},
                       {"est_ms", 1000},
                       {"required_label", "g"}};
    const Json job = {{"spec", "1000"}, {"steps", Json::array({step})}};
    // Until the owners know all executors.
    Sleep(12'000);
    int accepted_before = 0;
    for (int i = 0; i < kJobs; ++i) {
      if (deployment.CallUntilAnswered("POST", path(i), job.dump(), 8).status ==
          200)
        ++accepted_before;
      Sleep(100);
    }
    Sleep(8'000);
    int done_before = 0;
    for (int i = 0; i < kJobs; ++i)
      if (deployment.StateOf(path(i)) == "done") ++done_before;
    record.Write("note     before: accepted " +
                 std::to_string(accepted_before) + ", done " +
                 std::to_string(done_before));
    if (trouble) {
      for (const int index : lost) deployment.EndExecutor(index, Millis(4'500));
    }
    Sleep(10'000);
    std::vector<int> accepted;
    for (int i = kJobs; i < 2 * kJobs; ++i) {
      if (deployment.CallUntilAnswered("POST", path(i), job.dump(), 8).status ==
          200)
        accepted.push_back(i);
      Sleep(100);
    }
    // finish_s after the end of the traffic, and the rule's 3 s.
    Sleep(14'000 + 3'000);
    int idle = 0;
    for (const int i : accepted) {
      const std::string state = deployment.StateOf(path(i));
      int runs = 0;
      int done = 0;
      deployment.RunOnStandins([&] {
        for (int task = 0; task < 2; ++task) {
          const std::string name =
              path(i).substr(3) + ".0.0." + std::to_string(task);
          runs += deployment.fleet.running[name];
          done += deployment.fleet.done[name];
        }
      });
      if (runs == 0 && done == 0 && (state == "queued" || state == "running"))
        ++idle;
    }
    int runs_on_g = 0;
    int up_g = 0;
    deployment.RunOnStandins([&] {
      for (auto* executor : deployment.fleet.executors) {
        if (executor->Kind() != "g" || !executor->IsUp()) continue;
        ++up_g;
        runs_on_g += executor->Runs();
      }
    });
    record.Write(
        "result   jobs accepted after the loss: " +
        std::to_string(accepted.size()) +
        "; of them no task has ever run: " + std::to_string(idle) +
        "; executors with the label that are up: " + std::to_string(up_g) +
        ", with " + std::to_string(runs_on_g) + " runs");
    if (accepted_before < kJobs || done_before < kJobs) {
      record.Write("result   not all jobs before the loss were done");
      if (!trouble) return 1;
    }
    record.Write(idle > 0 ? "result   LOST is broken" : "result   held");
    return idle > 0 ? 1 : 0;
  } catch (const std::exception& error) {
    record.Write(std::string("result   could not run: ") + error.what());
    return 2;
  }
}
