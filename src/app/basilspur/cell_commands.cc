#include "cell_commands.h"

#include <string>
#include <vector>

#include "command_support.h"
#include "top.h"

namespace basilspur::cli {

static int SetDraining(Invocation& invocation, bool draining) {
  v1::DrainVmRequest request;
  *request.mutable_actor() = MakeActor(invocation);
  request.set_name(invocation.arguments[0]);
  request.set_draining(draining);
  return SubmitVersionedChange(invocation, request, &Client::Stub::ListVms,
                               &v1::VmList::vms, &Client::Stub::DrainVm);
}

int DrainVm(Invocation& invocation) { return SetDraining(invocation, true); }

int ReturnVm(Invocation& invocation) { return SetDraining(invocation, false); }

int ListVms(Invocation& invocation) {
  return ShowList(
      invocation, &Client::Stub::ListVms,
      {"NAME", "STATE", "OWNER", "STANDBY", "RACK", "RUNS", "USED", "CAPACITY"},
      [](const v1::VmList& list, std::vector<Row>& rows) {
        for (const auto& vm : list.vms()) {
          rows.push_back({vm.name(), vm.state(), vm.owner(), vm.standby(),
                          vm.rack(), std::to_string(vm.runs()),
                          FormatResources(vm.used()),
                          FormatResources(vm.capacity())});
        }
      });
}

int ListEntries(Invocation& invocation) {
  return ShowList(
      invocation, &Client::Stub::ListEntries,
      {"NAME", "INCARNATION", "STATE", "DATA CENTER", "CALLERS", "OPERATORS"},
      [](const v1::EntryList& list, std::vector<Row>& rows) {
        for (const auto& entry : list.entries()) {
          rows.push_back({entry.name(), std::to_string(entry.incarnation()),
                          entry.live() ? "live" : "gone", entry.data_center(),
                          entry.caller_address(), entry.operator_address()});
        }
      });
}

int ShowStatus(Invocation& invocation) {
  return ShowList(
      invocation, &Client::Stub::GetStatus,
      {"ENTRY", "OFFSET", "LAG", "LOG", "WAITING", "RUNNING", "DIGEST"},
      [](const v1::StatusReply& reply, std::vector<Row>& rows) {
        rows.push_back(
            {reply.entry(), std::to_string(reply.offset()),
             std::to_string(reply.lag()), reply.log_is_down() ? "down" : "up",
             std::to_string(reply.waiting_jobs()),
             std::to_string(reply.running_jobs()), reply.state_digest()});
      });
}

int TopEntries(Invocation& invocation) {
  TopOptions options;
  if (!invocation.arguments.empty()) options.prefix = invocation.arguments[0];
  options.rounds = invocation.options["rounds"].as<std::int64_t>();
  options.interval_ms = invocation.options["interval-ms"].as<std::int64_t>();
  return ShowTop(invocation.client, options);
}

int ListAudit(Invocation& invocation) {
  return ShowList(
      invocation, &Client::Stub::ListAudit,
      {"REVISION", "TIME MS", "ACTOR", "ACTION", "OBJECT", "BASE", "RESULT"},
      [](const v1::AuditList& list, std::vector<Row>& rows) {
        for (const auto& record : list.records()) {
          rows.push_back({std::to_string(record.revision()),
                          std::to_string(record.wall_ms()), record.actor(),
                          record.action(), record.object(),
                          std::to_string(record.base_version()),
                          record.result()});
        }
      });
}

}  // namespace basilspur::cli
