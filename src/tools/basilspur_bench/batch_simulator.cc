#include "batch_simulator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <utility>

#include "interference/mix_builder.h"

namespace basilspur::bench {

static constexpr double kMillisPerSecond = 1'000;
static constexpr Millis kReportInterval(2'000);
static constexpr Millis kReportDelay(6'000);
/// Standard deviation of the relative error of reported slowdowns.
static constexpr double kReportNoise = 0.05;
/// Factors on the progress of a throttled run and on the interference that it
/// causes.
static constexpr double kThrottledSpeed = 0.5;
static constexpr double kThrottledInterference = 0.4;
static constexpr double kRestartCostSeconds = 5;
static constexpr double kMeanJobSeconds = 240;
static constexpr int kWaveJobsPerSecond = 4;
/// Latencies that are sampled for each executor per second.
static constexpr int kLatencySamplesPerSecond = 2;
/// Median and standard deviation of the logarithm of the answer latency of a
/// service that is not slowed down (log-normal distribution).
static constexpr double kMedianLatencyMs = 40;
static constexpr double kLatencyLogDeviation = 0.4;
/// Share of the jobs that use more than they declare, and the maximum ratio of
/// their actual usage to the declared one.
static constexpr double kUnderdeclaredJobShare = 0.1;
static constexpr double kMaxUsageFactor = 2.0;
static constexpr std::array kCoresPerJob = {1, 1, 2, 2, 4};
/// Median interference weight of each kind of job. From kFirstNoisyKind on,
/// kinds cause strong interference; each wave consists of jobs of one of these.
static constexpr std::array kIntensities = {0.05, 0.1, 0.2, 0.3,
                                            0.5,  1.0, 2.5, 5.0};
static constexpr std::size_t kFirstNoisyKind = 6;
static constexpr std::array kServices = {"reports", "lookups", "advice"};
/// Standard deviation of the logarithm of the interference weight of a service
/// and a kind, around that of the kind.
static constexpr double kPairLogDeviation = 0.7;
/// Relative amplitude and period of the sinusoidal load of services.
static constexpr double kLoadAmplitude = 0.3;
static constexpr Millis kLoadPeriod(1'800'000);

static std::string KindName(std::size_t index) {
  return "kind-" + std::to_string(index);
}

static double SampleNormal(Random& random) {
  const double radius = std::sqrt(-2 * std::log(1 - random.NextDouble()));
  return radius * std::cos(2 * std::numbers::pi * random.NextDouble());
}

std::string BatchSimulator::VmName(int index) {
  return "vm-" + std::to_string(index);
}

std::string BatchSimulator::ServiceName(int vm_index) {
  return kServices[static_cast<std::size_t>(vm_index) % kServices.size()];
}

BatchSimulator::BatchSimulator(const BatchScenario& scenario)
    : scenario_(scenario),
      arrival_rng_(scenario.seed),
      report_rng_(scenario.seed + 1),
      latency_rng_(scenario.seed + 2) {
  for (const char* service : kServices) {
    for (std::size_t i = 0; i < kIntensities.size(); ++i) {
      interference_weights_[service][KindName(i)] =
          kIntensities[i] *
          std::exp(kPairLogDeviation * SampleNormal(arrival_rng_));
    }
  }
}

records::JobSpec BatchSimulator::MakeJob(const std::string& kind) {
  records::JobSpec spec;
  spec.id = "job-" + std::to_string(++created_jobs_);
  spec.team = "team";
  spec.kind = kind;
  const std::int64_t cores =
      kCoresPerJob[arrival_rng_.Below(kCoresPerJob.size())];
  // Memory per core is drawn in units of 1,000 MiB.
  const auto memory_per_core =
      static_cast<std::int64_t>(1 + arrival_rng_.Below(4));
  spec.resources = {cores * 1'000, cores * memory_per_core * 1'000, 0};
  SimulatedJob& job = jobs_[spec.id];
  job.kind = kind;
  job.actual_usage = spec.resources;
  if (arrival_rng_.NextDouble() < kUnderdeclaredJobShare) {
    const double factor = 1 + arrival_rng_.NextDouble() * (kMaxUsageFactor - 1);
    const auto scale = [&](std::int64_t amount) {
      return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
    };
    job.actual_usage.cpu_millis = scale(job.actual_usage.cpu_millis);
    job.actual_usage.memory_mib = scale(job.actual_usage.memory_mib);
  }
  job.remaining_seconds =
      -kMeanJobSeconds * std::log(1 - arrival_rng_.NextDouble());
  job.core_seconds = job.remaining_seconds * static_cast<double>(cores);
  return spec;
}

std::vector<records::JobSpec> BatchSimulator::GenerateArrivals(Millis now) {
  const double batch_cores =
      static_cast<double>(
          (scenario_.vm_capacity.cpu_millis - scenario_.per_target.cpu_millis) *
          scenario_.vms) /
      1'000;
  constexpr double kMeanCores = 2;
  const double rate =
      batch_cores * scenario_.load / (kMeanCores * kMeanJobSeconds);
  std::vector<records::JobSpec> arrived;
  // A Poisson process within the second; times are in seconds from its start.
  double arrival_seconds = -std::log(1 - arrival_rng_.NextDouble()) / rate;
  while (arrival_seconds < 1) {
    arrived.push_back(
        MakeJob(KindName(arrival_rng_.Below(kIntensities.size()))));
    arrival_seconds += -std::log(1 - arrival_rng_.NextDouble()) / rate;
  }
  if (now.count % scenario_.wave_interval.count == 0) {
    remaining_wave_jobs_ = scenario_.wave_jobs;
    const std::size_t noisy_kinds = kIntensities.size() - kFirstNoisyKind;
    wave_kind_ = KindName(kFirstNoisyKind + arrival_rng_.Below(noisy_kinds));
  }
  for (int i = 0; i < kWaveJobsPerSecond && remaining_wave_jobs_ > 0; ++i) {
    --remaining_wave_jobs_;
    arrived.push_back(MakeJob(wave_kind_));
  }
  return arrived;
}

void BatchSimulator::StartRun(const records::RunRef& run,
                              const std::string& vm) {
  runs_[run] = {vm, false};
  runs_on_vm_[vm].push_back(run);
  if (run.number > 1)
    jobs_.at(run.job).remaining_seconds += kRestartCostSeconds;
}

void BatchSimulator::StopRun(const records::RunRef& run) {
  const auto found = runs_.find(run);
  if (found == runs_.end()) return;
  std::erase(runs_on_vm_[found->second.vm], run);
  runs_.erase(found);
}

void BatchSimulator::SetThrottled(const records::RunRef& run, bool throttled) {
  const auto found = runs_.find(run);
  if (found != runs_.end()) found->second.throttled = throttled;
}

double BatchSimulator::LoadFactorOf(const std::string& service) const {
  const double phase = service == kServices[0] ? 0 : std::numbers::pi / 2;
  const double periods =
      static_cast<double>(now_.count) / static_cast<double>(kLoadPeriod.count);
  return 1 + kLoadAmplitude * std::sin(2 * std::numbers::pi * periods + phase);
}

double BatchSimulator::SlowdownOf(const std::string& vm) const {
  const int index = std::stoi(vm.substr(vm.find('-') + 1));
  const std::string service = ServiceName(index);
  const auto runs = runs_on_vm_.find(vm);
  if (runs == runs_on_vm_.end()) return 1;
  double sum = 0;
  for (const auto& run : runs->second) {
    const SimulatedJob& job = jobs_.at(run.job);
    const double share =
        interference::CpuShare(job.actual_usage, scenario_.vm_capacity);
    const double interference_factor =
        runs_.at(run).throttled ? kThrottledInterference : 1;
    sum += interference_weights_.at(service).at(job.kind) * share *
           interference_factor;
  }
  return 1 + LoadFactorOf(service) * sum;
}

std::vector<records::RunRef> BatchSimulator::Step(Millis now) {
  now_ = now;
  std::vector<records::RunRef> finished;
  for (auto& [run, state] : runs_) {
    SimulatedJob& job = jobs_.at(run.job);
    job.remaining_seconds -= state.throttled ? kThrottledSpeed : 1;
    if (job.remaining_seconds <= 0) finished.push_back(run);
  }
  for (const auto& run : finished) StopRun(run);
  if (now.count % kReportInterval.count != 0) return finished;
  for (const auto& [vm, runs] : runs_on_vm_) {
    if (runs.empty()) continue;
    Report report{
        vm,
        now,
        SlowdownOf(vm) * (1 + kReportNoise * SampleNormal(report_rng_)),
        {}};
    for (const auto& run : runs)
      report.usage[run] = jobs_.at(run.job).actual_usage;
    delayed_reports_.emplace_back(now + kReportDelay, std::move(report));
  }
  return finished;
}

std::vector<BatchSimulator::Report> BatchSimulator::TakeDueReports(Millis now) {
  std::vector<Report> reports;
  while (!delayed_reports_.empty() && delayed_reports_.front().first <= now) {
    reports.push_back(std::move(delayed_reports_.front().second));
    delayed_reports_.pop_front();
  }
  return reports;
}

std::vector<double> BatchSimulator::SampleLatencies() {
  std::vector<double> latencies_ms;
  for (int vm = 0; vm < scenario_.vms; ++vm) {
    const double slowdown = SlowdownOf(VmName(vm));
    for (int i = 0; i < kLatencySamplesPerSecond; ++i) {
      const double unloaded_ms =
          kMedianLatencyMs *
          std::exp(kLatencyLogDeviation * SampleNormal(latency_rng_));
      latencies_ms.push_back(unloaded_ms * slowdown);
    }
  }
  return latencies_ms;
}

int BatchSimulator::CountVmsOverMemory() const {
  int over = 0;
  for (const auto& [vm, runs] : runs_on_vm_) {
    std::int64_t used = scenario_.per_target.memory_mib;
    for (const auto& run : runs)
      used += jobs_.at(run.job).actual_usage.memory_mib;
    if (used > scenario_.vm_capacity.memory_mib) ++over;
  }
  return over;
}

}  // namespace basilspur::bench
