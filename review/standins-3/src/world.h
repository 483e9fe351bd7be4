#ifndef BASILSPUR_REVIEW_STANDINS_3_WORLD_H_
#define BASILSPUR_REVIEW_STANDINS_3_WORLD_H_

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace review {

using Json = nlohmann::json;

/// Milliseconds on the steady clock since the start of the program.
std::int64_t NowMs();

/// What was sent, answered and run: writes `record.txt` and judges by the
/// users' rules what executors have seen.
///
/// Thread safety: any thread.
class World {
 public:
  explicit World(const std::string& record_path) : record_(record_path) {}

  /// Writes one line with the time.
  void Note(const std::string& text);
  /// Notes a broken rule.
  void Break(const std::string& rule, const std::string& text);
  bool IsBroken();

  /// A requester is about to hand the job in.
  void AddJob(const std::string& id, const Json& body);
  /// The job as it was handed in; null if no requester sent it.
  Json JobOf(const std::string& id);
  void OnCancelled(const std::string& id);

  /// An executor has begun a run of the task, or ended one.
  void OnStart(const std::string& task, int run, const std::string& spec,
               const std::string& worker);
  void OnEnd(const std::string& task, int run, const std::string& how,
             const std::string& worker);
  /// `last_seen` has reached the end, and the lease did not lapse in between.
  void OnNoted(const std::string& task, int run, const std::string& how);
  /// How long no task of the job has been at work.
  std::int64_t IdleMs(const std::string& job);
  /// Processors, in thousandths of a core, of all tasks that are at work, and
  /// how long they have been fewer than `limit`.
  std::int64_t UsedCpu();
  std::int64_t BelowMs(std::int64_t limit);
  /// Number of runs of the job's tasks that ended so.
  int CountEnds(const std::string& job, const std::string& how);

 private:
  struct TaskState {
    std::set<std::string> runs;  ///< "WORKER/RUN" that are at work.
    int starts = 0;
    int done = 0;
    int failed = 0;
    /// Starts that the executors had seen when this run ended `done`.
    std::map<int, int> starts_at_done;
    std::int64_t noted_at = -1;  ///< When an end `done` was noted.
  };

  std::int64_t CpuOf(const std::string& task) const;

  std::mutex mutex_;
  std::ofstream record_;
  std::int64_t used_cpu_ = 0;
  /// When the sum last fell below or rose to each value of a start or end.
  std::vector<std::pair<std::int64_t, std::int64_t>> used_;  ///< Time, sum.
  std::map<std::string, int> running_;                       ///< Tasks, by job.
  std::map<std::string, std::int64_t> idle_since_;           ///< By job.
  bool broken_ = false;
  std::map<std::string, Json> jobs_;
  std::map<std::string, TaskState> tasks_;
};

}  // namespace review

#endif  // BASILSPUR_REVIEW_STANDINS_3_WORLD_H_
