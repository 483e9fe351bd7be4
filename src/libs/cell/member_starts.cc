#include "cell/member_starts.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "base/random.h"

namespace basilspur::cell {

static constexpr int kFirstCells = 4;
/// With 300 entries, 1,200 cells a second are begun with.
static constexpr Millis kStartInterval(250);

MemberStarts::MemberStarts(int cells, std::uint64_t seed)
    : waiting_(cells), started_(cells) {
  std::iota(waiting_.begin(), waiting_.end(), 0);
  Random random(seed);
  for (std::size_t i = waiting_.size(); i > 1; --i)
    std::swap(waiting_[i - 1], waiting_[random.Below(i)]);
}

std::vector<int> MemberStarts::Due(Millis now) {
  int count = 0;
  if (!next_start_) {
    count = kFirstCells;
    next_start_ = now + kStartInterval;
  } else if (now >= *next_start_) {
    count = 1;
    next_start_ = now + kStartInterval;
  }
  std::vector<int> due;
  while (count > 0 && !waiting_.empty()) {
    const int cell = waiting_.back();
    waiting_.pop_back();
    if (started_[cell]) continue;
    started_[cell] = true;
    due.push_back(cell);
    --count;
  }
  std::sort(due.begin(), due.end());
  return due;
}

bool MemberStarts::Request(int cell) {
  if (started_[cell]) return false;
  started_[cell] = true;
  return true;
}

}  // namespace basilspur::cell
