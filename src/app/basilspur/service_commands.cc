#include "service_commands.h"

#include <array>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "command_support.h"

namespace basilspur::cli {

/// Parses "ADDRESS/SLOTS[/VM[/DATA_CENTER]]"; null if SLOTS is not a number.
static std::optional<v1::Target> ParseTarget(const std::string& text) {
  std::istringstream parts(text);
  std::array<std::string, 4> fields;
  for (auto& field : fields) std::getline(parts, field, '/');
  v1::Target target;
  target.set_address(fields[0]);
  target.set_vm(fields[2]);
  target.set_data_center(fields[3]);
  std::int64_t slots = 0;
  std::istringstream number(fields[1]);
  if (!(number >> slots) || !number.eof()) return std::nullopt;
  target.set_slots(slots);
  return target;
}

int PutService(Invocation& invocation) {
  v1::PutServiceRequest request;
  *request.mutable_actor() = MakeActor(invocation);
  v1::Service& service = *request.mutable_service();
  service.set_name(invocation.arguments[0]);
  service.set_team(invocation.options["team"].as<std::string>());
  service.set_timeout_ms(invocation.options["timeout-ms"].as<std::int64_t>());
  service.set_queue_limit(invocation.options["queue-limit"].as<std::int64_t>());
  SetResources(invocation, service.mutable_per_target());
  if (invocation.options.count("target") > 0) {
    for (const auto& text :
         invocation.options["target"].as<std::vector<std::string>>()) {
      const auto target = ParseTarget(text);
      if (!target) {
        std::cerr << "basilspur: --target " << text
                  << ": expected ADDRESS/SLOTS[/VM[/DATA_CENTER]]\n";
        return kUsageError;
      }
      *service.add_targets() = *target;
    }
  }
  return SubmitVersionedChange(invocation, request, &Client::Stub::ListServices,
                               &v1::ServiceList::services,
                               &Client::Stub::PutService);
}

int DeleteService(Invocation& invocation) {
  v1::DeleteServiceRequest request;
  *request.mutable_actor() = MakeActor(invocation);
  request.set_name(invocation.arguments[0]);
  return SubmitVersionedChange(invocation, request, &Client::Stub::ListServices,
                               &v1::ServiceList::services,
                               &Client::Stub::DeleteService);
}

int ListServices(Invocation& invocation) {
  return ShowList(invocation, &Client::Stub::ListServices,
                  {"NAME", "TEAM", "TARGETS", "SLOTS", "VERSION"},
                  [](const v1::ServiceList& list, std::vector<Row>& rows) {
                    for (const auto& service : list.services()) {
                      std::int64_t slots = 0;
                      for (const auto& target : service.targets())
                        slots += target.slots();
                      rows.push_back({service.name(), service.team(),
                                      std::to_string(service.targets_size()),
                                      std::to_string(slots),
                                      std::to_string(service.version())});
                    }
                  });
}

}  // namespace basilspur::cli
