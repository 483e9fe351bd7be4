#include "command_support.h"

namespace basilspur::cli {

v1::Actor MakeActor(const Invocation& invocation) {
  v1::Actor actor;
  actor.set_name(invocation.options["actor"].as<std::string>());
  return actor;
}

void SetResources(const Invocation& invocation, v1::Resources* resources) {
  resources->set_cpu_millis(invocation.options["cpu"].as<std::int64_t>());
  resources->set_memory_mib(invocation.options["memory"].as<std::int64_t>());
  resources->set_accelerators(
      invocation.options["accelerators"].as<std::int64_t>());
}

std::string FormatResources(const v1::Resources& resources) {
  return std::to_string(resources.cpu_millis()) + "m " +
         std::to_string(resources.memory_mib()) + "MiB " +
         std::to_string(resources.accelerators()) + "acc";
}

}  // namespace basilspur::cli
