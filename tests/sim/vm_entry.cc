#include "sim/vm_entry.h"

#include <nlohmann/json.hpp>
#include <string>

namespace basilspur::sim {

records::Bytes MakeVmEntry(const jobs::VmListing& vm) {
  const nlohmann::json entry = {
      {"address", vm.address},
      {"born", vm.worker_start_ms},
      {"labels", {vm.kind, vm.rack}},
      {"room",
       {{"cpu", vm.capacity.cpu_millis}, {"mem_mb", vm.capacity.memory_mib}}},
      {"service", vm.service},
      {"state", vm.draining ? "draining" : "ready"},
      {"zone", vm.data_center}};
  const std::string text = entry.dump();
  return {text.begin(), text.end()};
}

}  // namespace basilspur::sim
