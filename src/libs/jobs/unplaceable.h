#ifndef BASILSPUR_JOBS_UNPLACEABLE_H_
#define BASILSPUR_JOBS_UNPLACEABLE_H_

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "jobs/step_spec.h"

namespace basilspur::jobs {

/// What found no VM during one plan, in which room only shrinks: tasks that
/// need as much or more of the same kind need not be tried. With hundreds of
/// waiting tasks, trying each on each VM takes most of an owner's time.
///
/// Thread safety: one thread at a time.
class Unplaceable {
 public:
  /// A task of this step found no VM.
  void Add(const StepSpec& spec, const std::string& service);
  /// True if a task of this step surely finds none either.
  bool Covers(const StepSpec& spec, const std::string& service) const;

 private:
  /// Service, image, label, and whether it is best-effort: steps that differ in
  /// these may run on other VMs.
  using Kind = std::tuple<std::string, std::string, std::string, bool>;
  static Kind KindOf(const StepSpec& spec, const std::string& service);

  std::map<Kind, std::vector<records::Resources>> needs_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_UNPLACEABLE_H_
