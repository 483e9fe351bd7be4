#ifndef BASILSPUR_JOBS_OCCURRENCE_SET_H_
#define BASILSPUR_JOBS_OCCURRENCE_SET_H_

#include <span>
#include <vector>

namespace basilspur::jobs {

/// The occurrences from `first` up to, but not including, `end`.
struct OccurrenceRange {
  int first = 0;
  int end = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.first, self.end);
  }
};

/// A set of occurrences of a job, stored as ranges.
///
/// Thread safety: a plain value.
class OccurrenceSet {
 public:
  OccurrenceSet() = default;
  /// `ranges` may be in any order and overlap.
  explicit OccurrenceSet(std::span<const OccurrenceRange> ranges);

  void Add(OccurrenceRange range);
  bool Contains(int occurrence) const;
  int Count() const;
  /// Returns the end of the last range; 0 if the set is empty.
  int End() const;
  /// Disjoint, in ascending order.
  const std::vector<OccurrenceRange>& Ranges() const { return ranges_; }

 private:
  std::vector<OccurrenceRange> ranges_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_OCCURRENCE_SET_H_
