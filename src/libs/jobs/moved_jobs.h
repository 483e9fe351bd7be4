#ifndef BASILSPUR_JOBS_MOVED_JOBS_H_
#define BASILSPUR_JOBS_MOVED_JOBS_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "jobs/journal_batch.h"

namespace basilspur::jobs {

/// The jobs of this cell that another cell took, because it had more room: a
/// job's own cell is asked first, so it has to know where the job is.
///
/// Thread safety: one thread at a time.
class MovedJobs {
 public:
  /// Decides for good that `cell` takes the job. Precondition: not moved yet.
  void Add(const std::string& job, int cell, Millis now);
  /// Takes in what the journal has.
  void Restore(const std::string& job, int cell, Millis now);
  /// The other cell knows the job no more.
  void Drop(const std::string& job);

  bool Contains(const std::string& job) const { return jobs_.contains(job); }
  /// The cell that took the job, once the journal says so.
  std::optional<int> CellOf(const std::string& job) const;

  bool HasChanges() const { return !changed_.empty(); }
  /// Adds what has changed since the last call.
  void TakeChanges(JournalBatch& batch);
  /// The journal holds the batch.
  void OnDurable(const JournalBatch& batch);

  /// A job that has not been asked for at its cell for `interval`; it counts
  /// as asked for now.
  std::optional<std::string> NextToCheck(Millis interval, Millis now);

 private:
  struct Move {
    int cell = 0;
    bool durable = false;
    Millis checked;
  };
  std::map<std::string, Move> jobs_;
  std::set<std::string> changed_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_MOVED_JOBS_H_
