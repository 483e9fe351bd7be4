#include "cell/home_contacts.h"

namespace basilspur::cell {

void HomeContacts::OnDelegation(int home_cell, Millis unserved, Millis now) {
  // The home cell gets no answers, so its messages may be long under way.
  if (unserved >= settings_.max_unserved) return;
  heard_at_[home_cell] = now;
}

bool HomeContacts::ShouldCheck(Millis now) {
  if (now - checked_at_ < settings_.read_interval) return false;
  checked_at_ = now;
  return true;
}

std::vector<int> HomeContacts::SilentOf(const std::set<int>& home_cells,
                                        Millis now) const {
  std::vector<int> silent;
  for (const int cell : home_cells) {
    const auto heard = heard_at_.find(cell);
    if (heard == heard_at_.end() ||
        now - heard->second >= settings_.max_silence)
      silent.push_back(cell);
  }
  return silent;
}

}  // namespace basilspur::cell
