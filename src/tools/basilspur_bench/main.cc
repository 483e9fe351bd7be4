// Compares the decisions of the scheduler with those of baseline policies in
// simulations of scripted loads with fixed seeds, and prints the results of all
// policies line by line.
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "batch_bench.h"
#include "request_bench.h"

using basilspur::bench::BatchResults;
using basilspur::bench::BatchScenario;
using basilspur::bench::RequestResults;
using basilspur::bench::RequestScenario;
using basilspur::records::Resources;

static void RunAndPrint(const char* name, const RequestScenario& scenario) {
  const RequestResults results = RunRequestScenario(scenario);
  std::printf(
      "%-14s load %3.0f%%  %-20s p50 %6.1f  p99 %8.1f  p99.9 %8.1f ms  "
      "goodput %5.1f%%  refused %5.2f%%  failed %5.2f%%  late %5.2f%%  "
      "served after %5.1f%%\n",
      name, scenario.load * 100, scenario.policy.c_str(), results.p50,
      results.p99, results.p999, results.goodput * 100,
      results.refused_share * 100, results.failed_share * 100,
      results.late_share * 100, results.final_window_served_share * 100);
}

struct RequestFaultCase {
  const char* name;
  void (*Configure)(RequestScenario& scenario);
};

static constexpr RequestFaultCase kRequestFaultCases[] = {
    {"uneven",
     [](RequestScenario& scenario) { scenario.first_entry_share = 0.4; }},
    {"slow target",
     [](RequestScenario& scenario) { scenario.slow_target_factor = 5; }},
    {"dead target",
     [](RequestScenario& scenario) { scenario.down_target = true; }},
    {"silent target",
     [](RequestScenario& scenario) { scenario.unresponsive_target = true; }},
    {"flapping",
     [](RequestScenario& scenario) { scenario.flapping_target = true; }},
    {"lost entry",
     [](RequestScenario& scenario) { scenario.entry_fails = true; }},
    {"doubling",
     [](RequestScenario& scenario) {
       scenario.load = 0.6;
       scenario.spike_factor = 2;
     }},
    {"resending",
     [](RequestScenario& scenario) {
       scenario.load = 0.85;
       scenario.spike_factor = 2;
       scenario.callers_resend = true;
     }},
};

static void RunRequestBenchmarks(std::uint64_t seed) {
  const std::vector<std::string> policies = {
      "ideal", "basilspur", "least-connections", "round-robin", "random"};
  for (const double load : {0.5, 0.8, 0.95, 1.2}) {
    for (const auto& policy : policies) {
      RequestScenario scenario;
      scenario.policy = policy;
      scenario.load = load;
      scenario.seed = seed;
      RunAndPrint("balanced", scenario);
    }
  }
  for (const auto& fault_case : kRequestFaultCases) {
    for (const auto& policy : policies) {
      RequestScenario scenario;
      scenario.policy = policy;
      scenario.seed = seed;
      fault_case.Configure(scenario);
      RunAndPrint(fault_case.name, scenario);
    }
  }
}

struct ClusterSize {
  const char* name;
  int vms;
  Resources vm_capacity;
  Resources per_target;
  int wave_jobs;
};

static constexpr ClusterSize kClusterSizes[] = {
    {"50 VMs", 50, {16'000, 60'000, 0}, {6'000, 20'000, 0}, 120},
    {"70 VMs", 70, {32'000, 125'000, 0}, {12'000, 40'000, 0}, 360},
};

static void RunBatchBenchmarks(std::uint64_t seed,
                               const std::string& only_policy) {
  for (const auto& size : kClusterSizes) {
    for (const char* policy :
         {"first-fit", "first-fit-evict", "spread", "tail", "throughput"}) {
      if (!only_policy.empty() && only_policy != policy) continue;
      BatchScenario scenario;
      scenario.policy = policy;
      scenario.vms = size.vms;
      scenario.vm_capacity = size.vm_capacity;
      scenario.per_target = size.per_target;
      scenario.wave_jobs = size.wave_jobs;
      scenario.seed = seed;
      const BatchResults results = RunBatchScenario(scenario);
      std::printf(
          "%-10s %-15s services p50 %5.1f  p99 %6.1f  p99.9 %6.1f ms  "
          "batch %6.1f core-h/h  finished %5lld  turnaround %5.0f s  "
          "evictions %4lld  memory over %4lld VM-s  charges %s\n",
          size.name, policy, results.p50, results.p99, results.p999,
          results.core_hours_per_hour, static_cast<long long>(results.finished),
          results.mean_turnaround_s, static_cast<long long>(results.evictions),
          static_cast<long long>(results.vm_seconds_over_memory),
          results.invariants_hold ? "hold" : "BROKEN");
    }
  }
}

int main(int argc, char** argv) {
  cxxopts::Options options(
      "basilspur_bench",
      "Compares scheduling decisions with baseline policies.");
  options.add_options()("side", "benchmarks to run: requests, batch or all",
                        cxxopts::value<std::string>()->default_value("all"))(
      "policy", "run the batch benchmarks with this policy only",
      cxxopts::value<std::string>()->default_value(""))(
      "seed", "random seed of the simulated loads",
      cxxopts::value<std::uint64_t>()->default_value("1"))("h,help",
                                                           "show this help");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  const auto seed = parsed["seed"].as<std::uint64_t>();
  std::cout << "seed " << seed << "\n";
  const auto side = parsed["side"].as<std::string>();
  if (side != "batch") RunRequestBenchmarks(seed);
  if (side != "requests")
    RunBatchBenchmarks(seed, parsed["policy"].as<std::string>());
  return 0;
}
