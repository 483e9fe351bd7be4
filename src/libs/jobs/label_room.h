#ifndef BASILSPUR_JOBS_LABEL_ROOM_H_
#define BASILSPUR_JOBS_LABEL_ROOM_H_

#include <cstddef>
#include <string>

#include "records/resources.h"

namespace basilspur::jobs {

/// Bounds the published load of a cell. The VMs of a cell have a few kinds, and
/// are on a few racks; each label costs some 20 bytes a second for each reader.
inline constexpr std::size_t kMaxPublishedLabels = 24;

/// Free capacity of the VM with a label that has the most free processors.
///
/// Thread safety: a plain value.
struct LabelRoom {
  std::string label;  ///< See VmListing::HasLabel.
  records::Resources room;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.label, self.room);
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_LABEL_ROOM_H_
