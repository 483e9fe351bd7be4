#ifndef BASILSPUR_JOBS_VM_LISTING_H_
#define BASILSPUR_JOBS_VM_LISTING_H_

#include <cstdint>
#include <string>

#include "records/resources.h"

namespace basilspur::jobs {

/// What the platform's list says of a VM. `id` names one lifetime of it.
///
/// Thread safety: a plain value.
struct VmListing {
  std::string id;
  std::string address;
  std::string service;
  std::string data_center;
  std::string kind;
  std::string rack;
  records::Resources room;
  bool draining = false;
  std::int64_t remaining_ms = -1;  ///< At least left of it; -1: not said.

  bool operator==(const VmListing& other) const = default;

  bool HasLabel(const std::string& label) const {
    return label == kind || label == rack;
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_VM_LISTING_H_
