#include "cell/host_contacts.h"

namespace basilspur::cell {

void HostContacts::OnSent(int cell, Millis now) {
  hosts_.try_emplace(cell, Host{now, Millis(0)});
}

Millis HostContacts::SilenceOf(int cell, Millis now) const {
  const auto found = hosts_.find(cell);
  return found == hosts_.end() ? Millis(0) : now - found->second.silent_since;
}

std::set<int> HostContacts::SilentFor(Millis min_silence, Millis now) const {
  std::set<int> cells;
  for (const auto& [cell, host] : hosts_) {
    if (now - host.silent_since >= min_silence) cells.insert(cell);
  }
  return cells;
}

bool HostContacts::ShouldLog(int cell, Millis interval, Millis now) {
  const auto found = hosts_.find(cell);
  if (found == hosts_.end()) return false;
  Millis& logged_at = found->second.logged_at;
  if (logged_at > Millis(0) && now - logged_at < interval) return false;
  logged_at = now;
  return true;
}

}  // namespace basilspur::cell
