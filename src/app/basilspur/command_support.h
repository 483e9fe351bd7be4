#ifndef BASILSPUR_APP_BASILSPUR_COMMAND_SUPPORT_H_
#define BASILSPUR_APP_BASILSPUR_COMMAND_SUPPORT_H_

#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include "commands.h"
#include "exit_code.h"
#include "printer.h"
#include "wait.h"

namespace basilspur::cli {

// Functions shared by the commands. Thread safety: one thread at a time.

/// Returns the actor given on the command line, for the audit trail.
v1::Actor MakeActor(const Invocation& invocation);

/// Sets `resources` to the values of the size options.
void SetResources(const Invocation& invocation, v1::Resources* resources);

/// Formats resources for a table cell.
std::string FormatResources(const v1::Resources& resources);

/// Calls a list method of the service with the query given on the command
/// line: a name and a limit, both optional.
template <class List>
grpc::Status QueryList(Invocation& invocation, List* list,
                       grpc::Status (Client::Stub::*method)(
                           grpc::ClientContext*, const v1::Query&, List*)) {
  v1::Query query;
  if (!invocation.arguments.empty()) query.set_name(invocation.arguments[0]);
  query.set_limit(invocation.options["limit"].as<std::int64_t>());
  return invocation.client.Call(
      [&](Client::Stub& stub, grpc::ClientContext& context) {
        return (stub.*method)(&context, query, list);
      });
}

using Row = std::vector<std::string>;

/// Queries a list and prints it as JSON, or as a table of the rows that
/// `add_rows` appends. Returns an exit code.
template <class List, class AddRows>
int ShowList(Invocation& invocation,
             grpc::Status (Client::Stub::*method)(grpc::ClientContext*,
                                                  const v1::Query&, List*),
             const Row& heading, AddRows add_rows) {
  List list;
  const grpc::Status status = QueryList(invocation, &list, method);
  if (!status.ok()) return ReportFailure(status);
  if (invocation.options.count("json") > 0) {
    PrintJson(list);
    return kSuccess;
  }
  std::vector<Row> rows;
  add_rows(list, rows);
  PrintTable(heading, rows);
  return kSuccess;
}

/// Submits a change and prints the reply. With --wait, waits until the change
/// is in force on all entries. Returns an exit code.
template <class Request>
int SubmitChange(Invocation& invocation, const Request& request,
                 grpc::Status (Client::Stub::*method)(grpc::ClientContext*,
                                                      const Request&,
                                                      v1::ChangeReply*)) {
  v1::ChangeReply reply;
  const grpc::Status status = invocation.client.Call(
      [&](Client::Stub& stub, grpc::ClientContext& context) {
        return (stub.*method)(&context, request, &reply);
      });
  if (!status.ok()) return ReportFailure(status);
  if (invocation.options.count("json") > 0) {
    PrintJson(reply);
  } else {
    std::cout << "accepted, version " << reply.version() << ", offset "
              << reply.offset() << "\n";
  }
  if (invocation.options.count("wait") == 0) return kSuccess;
  return WaitForOffset(invocation.client, reply.offset());
}

/// The accessor of the repeated field of a list message.
template <class List, class Item>
using ItemsAccessor =
    const google::protobuf::RepeatedPtrField<Item>& (List::*)() const;

/// Determines the version that a change is based on: the one given on the
/// command line, else the current version of the object, or 0 if it does not
/// exist. `items` accesses the objects in the list.
template <class List, class Item>
grpc::Status ResolveBaseVersion(
    Invocation& invocation, std::int64_t* version,
    grpc::Status (Client::Stub::*method)(grpc::ClientContext*, const v1::Query&,
                                         List*),
    ItemsAccessor<List, Item> items) {
  if (invocation.options.count("base-version") > 0) {
    *version = invocation.options["base-version"].as<std::int64_t>();
    return grpc::Status::OK;
  }
  List list;
  const grpc::Status status = QueryList(invocation, &list, method);
  *version = 0;
  if (status.error_code() == grpc::StatusCode::NOT_FOUND) {
    return grpc::Status::OK;
  }
  if (!status.ok()) return status;
  const auto& found = (list.*items)();
  if (found.size() > 0) *version = found.Get(0).version();
  return grpc::Status::OK;
}

/// Submits a change that is rejected unless it is based on the current version
/// of the object. Returns an exit code.
template <class Request, class List, class Item>
int SubmitVersionedChange(
    Invocation& invocation, Request request,
    grpc::Status (Client::Stub::*list_method)(grpc::ClientContext*,
                                              const v1::Query&, List*),
    ItemsAccessor<List, Item> items,
    grpc::Status (Client::Stub::*change_method)(grpc::ClientContext*,
                                                const Request&,
                                                v1::ChangeReply*)) {
  std::int64_t version = 0;
  const grpc::Status version_status =
      ResolveBaseVersion(invocation, &version, list_method, items);
  if (!version_status.ok()) return ReportFailure(version_status);
  request.set_base_version(version);
  return SubmitChange(invocation, request, change_method);
}

}  // namespace basilspur::cli

#endif  // BASILSPUR_APP_BASILSPUR_COMMAND_SUPPORT_H_
