#ifndef BASILSPUR_JOBS_MOVED_JOBS_H_
#define BASILSPUR_JOBS_MOVED_JOBS_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "jobs/journal_batch.h"

namespace basilspur::jobs {

/// The jobs of this cell that were moved to cells with more free room. Requests
/// for a job go to its own cell first, which has to redirect them.
///
/// Thread safety: one thread at a time.
class MovedJobs {
 public:
  /// Moves the job to `cell`; the decision is final. Precondition: the job has
  /// not been moved yet.
  void Add(const std::string& job, int cell, Millis now);
  /// Restores a moved job from the journal.
  void Restore(const std::string& job, int cell, Millis now);
  /// A submission of the job is redirected to the other cell, and may arrive
  /// there later.
  void OnSubmissionRedirected(const std::string& job, Millis now);
  /// Removes a job that did not exist in the other cell when it was last
  /// checked, unless a submission has been redirected since then. Returns
  /// whether the job was removed.
  bool RemoveUnlessRedirected(const std::string& job);

  bool Contains(const std::string& job) const { return jobs_.contains(job); }
  /// The cell that the job was moved to, once the move is in the journal.
  std::optional<int> CellOf(const std::string& job) const;

  bool HasChanges() const { return !changed_.empty(); }
  /// Adds the changes since the last call to `batch`.
  void TakeChanges(JournalBatch& batch);
  /// The batch is durable in the journal.
  void OnDurable(const JournalBatch& batch);

  /// Returns a job whose existence in the other cell has not been checked for
  /// `interval`, with no submission redirected meanwhile, and marks it as
  /// checked at `now`.
  std::optional<std::string> NextToCheck(Millis interval, Millis now);

 private:
  struct Move {
    int cell = 0;
    bool durable = false;
    Millis checked_at;       ///< Or when a submission was last redirected.
    bool redirected = true;  ///< A submission, since the last check.
  };
  std::map<std::string, Move> jobs_;
  std::set<std::string> changed_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_MOVED_JOBS_H_
