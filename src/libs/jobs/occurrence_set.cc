#include "jobs/occurrence_set.h"

#include <algorithm>

namespace basilspur::jobs {

OccurrenceSet::OccurrenceSet(std::span<const OccurrenceRange> ranges) {
  for (const OccurrenceRange& range : ranges) Add(range);
}

void OccurrenceSet::Add(OccurrenceRange range) {
  if (range.first >= range.end) return;
  // The ranges that overlap `range` or are next to it.
  const auto begin = std::find_if(
      ranges_.begin(), ranges_.end(),
      [&](const OccurrenceRange& known) { return known.end >= range.first; });
  const auto end = std::find_if(
      begin, ranges_.end(),
      [&](const OccurrenceRange& known) { return known.first > range.end; });
  if (begin != end) {
    range.first = std::min(range.first, begin->first);
    range.end = std::max(range.end, std::prev(end)->end);
  }
  ranges_.insert(ranges_.erase(begin, end), range);
}

bool OccurrenceSet::Contains(int occurrence) const {
  return std::any_of(
      ranges_.begin(), ranges_.end(), [&](const OccurrenceRange& range) {
        return range.first <= occurrence && occurrence < range.end;
      });
}

int OccurrenceSet::Count() const {
  int count = 0;
  for (const OccurrenceRange& range : ranges_) count += range.end - range.first;
  return count;
}

int OccurrenceSet::End() const {
  return ranges_.empty() ? 0 : ranges_.back().end;
}

}  // namespace basilspur::jobs
