#include "records/resources.h"

#include <algorithm>

namespace basilspur::records {

Resources Resources::operator+(const Resources& other) const {
  return {cpu_millis + other.cpu_millis, memory_mib + other.memory_mib,
          accelerators + other.accelerators};
}

Resources Resources::operator-(const Resources& other) const {
  return {cpu_millis - other.cpu_millis, memory_mib - other.memory_mib,
          accelerators - other.accelerators};
}

Resources Resources::ComponentwiseMax(const Resources& other) const {
  return {std::max(cpu_millis, other.cpu_millis),
          std::max(memory_mib, other.memory_mib),
          std::max(accelerators, other.accelerators)};
}

Resources Resources::ComponentwiseMin(const Resources& other) const {
  return {std::min(cpu_millis, other.cpu_millis),
          std::min(memory_mib, other.memory_mib),
          std::min(accelerators, other.accelerators)};
}

bool Resources::FitsIn(const Resources& capacity) const {
  return cpu_millis <= capacity.cpu_millis &&
         memory_mib <= capacity.memory_mib &&
         accelerators <= capacity.accelerators;
}

bool Resources::IsValid() const {
  return cpu_millis >= 0 && memory_mib >= 0 && accelerators >= 0;
}

std::string Resources::FirstShortage(const Resources& capacity) const {
  if (accelerators > capacity.accelerators) {
    return std::to_string(accelerators) + " accelerators";
  }
  if (memory_mib > capacity.memory_mib) {
    return std::to_string(memory_mib) + " MiB of memory";
  }
  if (cpu_millis > capacity.cpu_millis) {
    return std::to_string(cpu_millis) + " thousandths of a core";
  }
  return "";
}

}  // namespace basilspur::records
