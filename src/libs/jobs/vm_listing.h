#ifndef BASILSPUR_JOBS_VM_LISTING_H_
#define BASILSPUR_JOBS_VM_LISTING_H_

#include <cstdint>
#include <string>

#include "records/resources.h"

namespace basilspur::jobs {

/// A VM's entry in the platform's directory. `id` identifies one incarnation of
/// the VM.
///
/// Thread safety: a plain value.
struct VmListing {
  std::string id;
  std::string address;
  std::string service;
  std::string data_center;
  std::string kind;
  std::string rack;
  records::Resources capacity;
  bool draining = false;
  /// Minimum remaining time until the VM is removed; -1: unknown.
  std::int64_t remaining_ms = -1;
  /// When the worker that wrote the entry started, in Unix ms; 0: unknown. See
  /// VmReport::worker_start_ms.
  std::int64_t worker_start_ms = 0;

  bool operator==(const VmListing& other) const = default;

  bool HasLabel(const std::string& label) const {
    return label == kind || label == rack;
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_VM_LISTING_H_
