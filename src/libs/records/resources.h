#ifndef BASILSPUR_RECORDS_RESOURCES_H_
#define BASILSPUR_RECORDS_RESOURCES_H_

#include <cstdint>
#include <string>

namespace basilspur::records {

/// An amount of CPU (thousandths of a core), memory (MiB) and accelerators
/// (whole devices).
struct Resources {
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mib = 0;
  std::int64_t accelerators = 0;

  Resources operator+(const Resources& other) const;
  Resources operator-(const Resources& other) const;
  bool operator==(const Resources& other) const = default;

  /// The larger value of each component.
  Resources ComponentwiseMax(const Resources& other) const;

  /// The smaller value of each component.
  Resources ComponentwiseMin(const Resources& other) const;

  /// True if no component exceeds that of `capacity`.
  bool FitsIn(const Resources& capacity) const;

  /// True if no component is negative.
  bool IsValid() const;

  /// Names the first component that exceeds `capacity`, with its amount, for
  /// messages to operators. Empty if all components fit.
  std::string FirstShortage(const Resources& capacity) const;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.cpu_millis, self.memory_mib, self.accelerators);
  }
};

}  // namespace basilspur::records

#endif  // BASILSPUR_RECORDS_RESOURCES_H_
