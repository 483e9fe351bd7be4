#include "job_commands.h"

#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "command_support.h"

namespace basilspur::cli {

static std::string RandomJobId() {
  std::random_device device;
  std::ostringstream id;
  id << "job-" << std::hex << device() << device();
  return id.str();
}

int CreateJob(Invocation& invocation) {
  v1::CreateJobRequest request;
  *request.mutable_actor() = MakeActor(invocation);
  v1::Job& job = *request.mutable_job();
  job.set_id(invocation.arguments.empty() ? RandomJobId()
                                          : invocation.arguments[0]);
  job.set_team(invocation.options["team"].as<std::string>());
  job.set_kind(invocation.options["kind"].as<std::string>());
  job.set_command(invocation.options["command"].as<std::string>());
  job.set_urgent(invocation.options.count("urgent") > 0);
  SetResources(invocation, job.mutable_resources());
  v1::ChangeReply reply;
  const grpc::Status status = invocation.client.Call(
      [&](Client::Stub& stub, grpc::ClientContext& context) {
        return stub.CreateJob(&context, request, &reply);
      });
  if (!status.ok()) {
    std::cerr << "job " << job.id() << "\n";
    return ReportFailure(status);
  }
  std::cout << job.id() << "\n";
  if (invocation.options.count("wait") == 0) return kSuccess;
  return WaitForJob(invocation.client, job.id());
}

int CancelJobs(Invocation& invocation) {
  v1::CancelJobsRequest request;
  *request.mutable_actor() = MakeActor(invocation);
  for (const auto& id : invocation.arguments) request.add_ids(id);
  return SubmitChange(invocation, request, &Client::Stub::CancelJobs);
}

int ListJobs(Invocation& invocation) {
  return ShowList(
      invocation, &Client::Stub::ListJobs,
      {"ID", "TEAM", "PHASE", "VM", "RUNS", "EVICTIONS", "FAILURES", "REASON"},
      [](const v1::JobList& list, std::vector<Row>& rows) {
        for (const auto& job : list.jobs()) {
          rows.push_back({job.id(), job.team(), job.phase(), job.vm(),
                          std::to_string(job.runs()),
                          std::to_string(job.evictions()),
                          std::to_string(job.failures()), job.reason()});
        }
      });
}

}  // namespace basilspur::cli
