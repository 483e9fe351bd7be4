#ifndef BASILSPUR_STATE_MEMBER_H_
#define BASILSPUR_STATE_MEMBER_H_

#include <cstdint>

#include "records/specs.h"

namespace basilspur::state {

/// The highest incarnation of the entry with a given name. It is kept after the
/// entry has ended, so that late records of old incarnations are rejected.
struct Member {
  std::int64_t incarnation = 0;
  std::int64_t last_sequence = 0;
  bool live = false;
  records::EntrySpec spec;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.incarnation, self.last_sequence, self.live, self.spec);
  }
};

}  // namespace basilspur::state

#endif  // BASILSPUR_STATE_MEMBER_H_
