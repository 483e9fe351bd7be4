// Plays one case of review/ against the project's own processes: see the claim
// beside its run.sh. Exits with 1 if the rule was broken, 0 if it held, and 2
// if the case couldn't run.

#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <thread>

#include "deployment.h"

namespace review {

static constexpr int kFinishMs = 14'000;
/// So long may a job have nothing at work though there is capacity.
static constexpr int kIdleMs = 3'000;
/// Traffic starts this long after the machines.
static constexpr int kSettleMs = 10'000;
static constexpr int kTroubleAfterMs = 8'000;
/// Ordinary jobs, in turn of two classes: 14 a second, for 30 s.
static constexpr int kJobs = 420;
static constexpr int kJobGapMs = 71;
/// A burst of the batch class: 2.6 times its 7 jobs a second, for 4 s.
/// Twice.
static constexpr int kLargeJobs = 88;
static constexpr int kLargeJobGapMs = 90;
static constexpr int kBurstGapMs = 2'000;
/// Orders that are carried out late: half of them, for 5.5 s.
static constexpr int kLatePercent = 50;
static constexpr int kLateMs = 5'500;
/// Executors that go down and up by turns: a share of 0.15, each 1.4 s, for
/// 6.5 s.
static constexpr int kFlapPercent = 15;
static constexpr int kTasksOfWideJobs = 16;
static constexpr int kFlaps = 5;
static constexpr int kFlapGapMs = 1'400;
static constexpr int kDownMs = 700;

static Json OneStep(const std::string& spec, int count, int cpu, int mem_mb) {
  return {{"spec", spec},
          {"steps",
           {{{"count", count},
             {"cpu", cpu},
             {"mem_mb", mem_mb},
             {"est_ms", std::stoi(spec)}}}}};
}

/// Ordinary requesters, who hand in small jobs.
class Traffic {
 public:
  Traffic(World& world, Deployment& deployment, int tasks = 2)
      : world_(world), deployment_(deployment), jobs_(kJobs) {
    for (int i = 0; i < kJobs; ++i) {
      jobs_[i].id = MakeId(i);
      jobs_[i].path = i % 2 == 0 ? "/q/" : "/b/";
      jobs_[i].body = OneStep("300", tasks, 1'000, 500);
    }
  }
  ~Traffic() { Join(); }

  void Start() {
    thread_ = std::thread([this] {
      for (JobRequest& job : jobs_) {
        threads_.emplace_back([&] { Submit(world_, deployment_, job); });
        usleep(kJobGapMs * 1'000);
      }
    });
  }
  void Join() {
    if (thread_.joinable()) thread_.join();
    for (std::thread& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
  }
  /// LOST: `finish_s` after the end of the traffic each accepted job is known
  /// and gets an answer; and none has nothing at work for 3 s while under half
  /// of the capacity is in use.
  void CheckDone() {
    int accepted = 0;
    std::vector<std::thread> threads;
    std::vector<std::string> states(jobs_.size());
    for (std::size_t i = 0; i < jobs_.size(); ++i) {
      if (!jobs_[i].accepted) continue;
      ++accepted;
      threads.emplace_back(
          [&, i] { states[i] = AskState(world_, deployment_, jobs_[i]); });
    }
    for (std::thread& thread : threads) thread.join();
    for (std::size_t i = 0; i < jobs_.size(); ++i) {
      if (!jobs_[i].accepted || states[i] == "done") continue;
      const bool known = states[i] == "queued" || states[i] == "running";
      const std::int64_t idle_ms = world_.IdleMs(jobs_[i].id);
      const std::int64_t below_ms = world_.BelowMs(deployment_.Cpu() / 2);
      const std::string text = "job " + jobs_[i].id + ", accepted " +
                               std::to_string(NowMs() - jobs_[i].accepted_at) +
                               " ms ago: " + states[i];
      // There is capacity for it many times over while under half is in use.
      if (!known || (idle_ms > kIdleMs && below_ms > kIdleMs)) {
        world_.Break("LOST", text + ", without a run for " +
                                 std::to_string(idle_ms) +
                                 " ms, under half of the capacity in use for " +
                                 std::to_string(below_ms) + " ms");
      } else {
        world_.Note("not done, but excused: " + text);
      }
    }
    const std::string text = std::to_string(accepted) + " of " +
                             std::to_string(jobs_.size()) +
                             " ordinary jobs were accepted";
    world_.Note(text);
    std::cout << text << std::endl;
  }

 private:
  World& world_;
  Deployment& deployment_;
  std::vector<JobRequest> jobs_;
  std::vector<std::thread> threads_;
  std::thread thread_;
};

/// One job of the batch class can never be done: a gang that the executors have
/// no room for.
static void PlayGang(World& world, bool trouble) {
  Deployment deployment(world, DeploymentOptions());
  deployment.WaitUntilReady();
  usleep(kSettleMs * 1'000);
  Traffic traffic(world, deployment);
  traffic.Start();
  usleep(kTroubleAfterMs * 1'000);
  JobRequest gang;
  gang.id = MakeId(100'000);
  gang.path = "/b/";
  gang.body = OneStep("1000", 10'000, 250, 10);
  gang.body["steps"][0]["gang"] = true;
  gang.body["steps"][0]["max_per_server"] = 1'000;
  if (trouble) Submit(world, deployment, gang);
  traffic.Join();
  usleep(kFinishMs * 1'000);
  traffic.CheckDone();
}

/// Large jobs of the batch class come at once.
static void PlayLargeJobs(World& world, bool trouble) {
  DeploymentOptions options;
  options.kill_over_memory = true;
  Deployment deployment(world, options);
  deployment.WaitUntilReady();
  usleep(kSettleMs * 1'000);
  Traffic traffic(world, deployment);
  traffic.Start();
  usleep(kTroubleAfterMs * 1'000);
  std::vector<JobRequest> jobs(trouble ? kLargeJobs : 0);
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    if (i == kLargeJobs / 2) usleep(kBurstGapMs * 1'000);
    jobs[i].id = MakeId(100'000 + static_cast<int>(i));
    jobs[i].path = "/b/";
    jobs[i].body = OneStep("20000", 10'000, 1'000, 500);
    jobs[i].body["start_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    jobs[i].body["interval_ms"] = 1'000;
    jobs[i].body["repeats"] = 2;
    threads.emplace_back([&, i] { Submit(world, deployment, jobs[i]); });
    usleep(kLargeJobGapMs * 1'000);
  }
  for (std::thread& thread : threads) thread.join();
  traffic.Join();
  usleep(kFinishMs * 1'000);
  int machines = 0;
  for (int i = 0; i < deployment.Entries(); ++i) {
    const std::string text = "entry " + std::to_string(i) + ": killed " +
                             std::to_string(deployment.KillsForMemory(i)) +
                             " times, peak " +
                             std::to_string(deployment.PeakMemoryMb(i)) + " MB";
    world.Note(text);
    std::cout << text << std::endl;
    if (deployment.KillsForMemory(i) >= 3) ++machines;
  }
  if (machines >= 2)
    world.Break("Fault", "on " + std::to_string(machines) +
                             " machines processes ended three times for "
                             "memory over the limit");
  traffic.CheckDone();
}

/// Orders get no answer and are carried out late, while executors go down and
/// start again under their ids.
static void PlayLateStarts(World& world, bool trouble) {
  DeploymentOptions options;
  options.workers = 40;
  options.name_births = true;
  options.hold_max_ms = 6'000;
  Deployment deployment(world, options);
  deployment.WaitUntilReady();
  usleep(kSettleMs * 1'000);
  Traffic traffic(world, deployment, kTasksOfWideJobs);
  traffic.Start();
  usleep(kTroubleAfterMs * 1'000);
  const auto lose_starts = [&](int percent) {
    deployment.RunOnStandins([&] {
      for (auto& worker : deployment.workers) worker->LoseStarts(percent);
    });
  };
  if (trouble) lose_starts(kLatePercent);
  usleep(kLateMs * 1'000);
  lose_starts(0);
  const int flapping = options.workers * kFlapPercent / 100;
  for (int flap = 0; flap < kFlaps && trouble; ++flap) {
    for (int i = 0; i < flapping; ++i) {
      Worker& worker = *deployment.workers[i];
      worker.mode = Worker::Mode::kDown;
      deployment.RunOnStandins([&] { worker.Crash(worker.Id()); });
    }
    usleep(kDownMs * 1'000);
    for (int i = 0; i < flapping; ++i) {
      deployment.workers[i]->mode = Worker::Mode::kUp;
      deployment.RunOnStandins([&] { deployment.Publish(i, "ready"); });
    }
    usleep((kFlapGapMs - kDownMs) * 1'000);
  }
  traffic.Join();
  usleep(kFinishMs * 1'000);
  traffic.CheckDone();
}

static int Run(const std::string& name, bool trouble,
               const std::string& record) {
  static const std::map<std::string, std::function<void(World&, bool)>> kCases =
      {{"gang", PlayGang},
       {"large-jobs", PlayLargeJobs},
       {"late-starts", PlayLateStarts}};
  World world(record);
  const auto found = kCases.find(name);
  if (found == kCases.end()) return 2;
  world.Note("case " + name + " trouble=" + std::to_string(trouble));
  try {
    found->second(world, trouble);
  } catch (const std::exception& error) {
    world.Note(std::string("could not run: ") + error.what());
    std::cerr << error.what() << std::endl;
    return 2;
  }
  const int result = world.IsBroken() ? 1 : 0;
  world.Note("result " + std::to_string(result));
  return result;
}

}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  return review::Run(argv[1], !trouble || std::string(trouble) != "0", argv[2]);
}
