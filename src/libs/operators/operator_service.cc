#include "operators/operator_service.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <future>
#include <optional>
#include <utility>

#include "base/hashing.h"
#include "base/logging.h"
#include "operator.grpc.pb.h"
#include "operators/convert.h"
#include "operators/waiting_reasons.h"

namespace basilspur::operators {

using grpc::ServerContext;
using grpc::Status;
using grpc::StatusCode;
using internal::FromMessage;
using internal::ToMessage;
using internal::ValidationError;
using state::ApplyResult;
using state::ApplyResultCode;
using state::ClusterState;

static constexpr LogCategory kLog("operators");
/// Time-out for a submitted record to be read back from the log and applied.
static constexpr std::chrono::seconds kApplyTimeout(10);
static constexpr std::size_t kMaxCancellationsPerCall = 50'000;

static StatusCode ToStatusCode(ApplyResultCode code) {
  switch (code) {
    case ApplyResultCode::kAccepted:
    case ApplyResultCode::kDuplicate:
      return StatusCode::OK;
    case ApplyResultCode::kUnknownWriter:
      return StatusCode::UNAVAILABLE;
    case ApplyResultCode::kInvalid:
      return StatusCode::INVALID_ARGUMENT;
    case ApplyResultCode::kNotFound:
      return StatusCode::NOT_FOUND;
    case ApplyResultCode::kConflict:
      return StatusCode::ABORTED;
    case ApplyResultCode::kNoCapacity:
    case ApplyResultCode::kOverQuota:
      return StatusCode::FAILED_PRECONDITION;
  }
  return StatusCode::INTERNAL;
}

/// Calls `add_object(name, value)` for the object that the query names. Without
/// a name, calls it for all objects, up to the query's limit.
template <class Table, class AddObject>
static Status SelectObjects(const Table& table, const v1::Query& query,
                            AddObject add_object) {
  if (query.name().empty()) {
    std::int64_t count = 0;
    for (const auto& [name, value] : table) {
      if (query.limit() > 0 && count++ == query.limit()) break;
      add_object(name, value);
    }
    return Status::OK;
  }
  const auto found = table.find(query.name());
  if (found == table.end()) {
    return {StatusCode::NOT_FOUND, query.name() + " does not exist"};
  }
  add_object(found->first, found->second);
  return Status::OK;
}

class OperatorService::Private final : public v1::Operator::Service {
 public:
  explicit Private(OperatorServiceDependencies deps) : deps_(std::move(deps)) {}

  basilspur::Status Start(const std::string& address) {
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
    if (server_ && port != 0) return {};
    return Error{ErrorCode::kUnavailable, "listen", address,
                 "the address can't be bound: expected a free local IP:PORT"};
  }

  void Stop(Millis timeout) {
    if (!server_) return;
    server_->Shutdown(std::chrono::system_clock::now() +
                      std::chrono::milliseconds(timeout.count));
    server_.reset();
  }

  Status PutService(ServerContext*, const v1::PutServiceRequest* request,
                    v1::ChangeReply* reply) override {
    const std::string error = ValidationError(request->service());
    if (!error.empty()) return {StatusCode::INVALID_ARGUMENT, error};
    return SubmitChange(records::ServicePut{FromMessage(request->service()),
                                            request->base_version()},
                        request->actor(), reply);
  }

  Status DeleteService(ServerContext*, const v1::DeleteServiceRequest* request,
                       v1::ChangeReply* reply) override {
    return SubmitChange(
        records::ServiceDeleted{request->name(), request->base_version()},
        request->actor(), reply);
  }

  Status ListServices(ServerContext*, const v1::Query* query,
                      v1::ServiceList* list) override {
    return deps_.replica.Read([&](const ClusterState& state) {
      return SelectObjects(
          state.ServiceTable(), *query,
          [&](const std::string&, const state::Service& service) {
            *list->add_services() = ToMessage(service);
          });
    });
  }

  Status CreateJob(ServerContext*, const v1::CreateJobRequest* request,
                   v1::ChangeReply* reply) override {
    const std::string error = ValidationError(request->job());
    if (!error.empty()) return {StatusCode::INVALID_ARGUMENT, error};
    return SubmitChange(records::JobAccepted{FromMessage(request->job())},
                        request->actor(), reply);
  }

  Status CancelJobs(ServerContext*, const v1::CancelJobsRequest* request,
                    v1::ChangeReply* reply) override {
    if (request->ids().empty() ||
        request->ids().size() > static_cast<int>(kMaxCancellationsPerCall)) {
      return {StatusCode::INVALID_ARGUMENT,
              "number of job ids out of range: expected 1 to 50000"};
    }
    records::JobsCancelled body;
    body.ids.assign(request->ids().begin(), request->ids().end());
    return SubmitChange(std::move(body), request->actor(), reply);
  }

  Status ListJobs(ServerContext*, const v1::Query* query,
                  v1::JobList* list) override {
    const Status status = deps_.replica.Read([&](const ClusterState& state) {
      internal::WaitingReasons reasons(state);
      return SelectObjects(state.JobTable(), *query,
                           [&](const std::string&, const state::Job& job) {
                             v1::Job& message = *list->add_jobs();
                             message = ToMessage(job);
                             if (job.phase != state::JobPhase::kWaiting) return;
                             message.set_reason(reasons.ReasonFor(job));
                           });
    });
    for (auto& job : *list->mutable_jobs()) {
      if (job.phase() != "running") continue;
      const std::string obstacle = deps_.run_end_obstacle(job.id());
      if (!obstacle.empty()) job.set_reason(obstacle);
    }
    return status;
  }

  Status PutTeam(ServerContext*, const v1::PutTeamRequest* request,
                 v1::ChangeReply* reply) override {
    return SubmitChange(records::TeamPut{{request->team().name(),
                                          FromMessage(request->team().quota())},
                                         request->base_version()},
                        request->actor(), reply);
  }

  Status ListTeams(ServerContext*, const v1::Query* query,
                   v1::TeamList* list) override {
    return deps_.replica.Read([&](const ClusterState& state) {
      return SelectObjects(state.TeamTable(), *query,
                           [&](const std::string&, const state::Team& team) {
                             *list->add_teams() = ToMessage(team);
                           });
    });
  }

  Status PutConfig(ServerContext*, const v1::PutConfigRequest* request,
                   v1::ChangeReply* reply) override {
    if (request->value().key().empty()) {
      return {StatusCode::INVALID_ARGUMENT,
              "key is empty: expected a configuration key"};
    }
    return SubmitChange(
        records::ConfigPut{request->value().key(), request->value().value(),
                           request->base_version()},
        request->actor(), reply);
  }

  Status ListConfig(ServerContext*, const v1::Query* query,
                    v1::ConfigList* list) override {
    return deps_.replica.Read([&](const ClusterState& state) {
      return SelectObjects(
          state.ConfigTable(), *query,
          [&](const std::string& key, const state::ConfigValue& value) {
            v1::ConfigValue* added = list->add_values();
            added->set_key(key);
            added->set_value(value.value);
            added->set_version(value.version);
          });
    });
  }

  Status DrainVm(ServerContext*, const v1::DrainVmRequest* request,
                 v1::ChangeReply* reply) override {
    return SubmitChange(records::VmDrained{request->name(), request->draining(),
                                           request->base_version()},
                        request->actor(), reply);
  }

  Status ListVms(ServerContext*, const v1::Query* query,
                 v1::VmList* list) override {
    return deps_.replica.Read([&](const ClusterState& state) {
      return SelectObjects(state.VmTable(), *query,
                           [&](const std::string&, const state::Vm& vm) {
                             *list->add_vms() = ToMessage(vm);
                           });
    });
  }

  Status ListEntries(ServerContext*, const v1::Query* query,
                     v1::EntryList* list) override {
    return deps_.replica.Read([&](const ClusterState& state) {
      return SelectObjects(
          state.MemberTable(), *query,
          [&](const std::string& name, const state::Member& member) {
            *list->add_entries() = ToMessage(name, member);
          });
    });
  }

  Status ListAudit(ServerContext*, const v1::Query* query,
                   v1::AuditList* list) override {
    deps_.replica.Read([&](const ClusterState& state) {
      const auto& audit = state.Audit();
      const auto size = static_cast<std::int64_t>(audit.size());
      const bool limited = query->limit() > 0 && query->limit() < size;
      const std::int64_t first = limited ? size - query->limit() : 0;
      for (std::int64_t i = first; i < size; ++i) {
        *list->add_records() = ToMessage(audit[static_cast<std::size_t>(i)]);
      }
      return 0;
    });
    return Status::OK;
  }

  Status GetFigures(ServerContext*, const v1::Query* query,
                    v1::FigureList* list) override {
    deps_.refresh_gauges();
    for (const auto& figure : deps_.metrics.CollectFigures(query->name())) {
      *list->add_figures() = ToMessage(figure);
    }
    return Status::OK;
  }

  Status GetStatus(ServerContext*, const v1::Query* query,
                   v1::StatusReply* reply) override {
    reply->set_entry(deps_.self.name);
    reply->set_incarnation(deps_.self.incarnation);
    reply->set_offset_in_force(deps_.offset_in_force());
    reply->set_lag(deps_.replica.Lag());
    reply->set_log_is_down(deps_.replica.LogIsDown() ||
                           deps_.writer.LogIsDown());
    deps_.replica.Read([&](const ClusterState& state) {
      reply->set_offset(state.Offset());
      reply->set_waiting_jobs(
          static_cast<std::int64_t>(state.Waiting().size()));
      std::int64_t running = 0;
      for (const auto& [name, vm] : state.VmTable()) {
        running += static_cast<std::int64_t>(vm.running_jobs.size());
      }
      reply->set_running_jobs(running);
      if (query->name() == "digest") {
        reply->set_state_digest(std::to_string(StableHash(state.Serialize())));
      }
      return 0;
    });
    return Status::OK;
  }

 private:
  /// Submits a record to the log and waits until this entry has applied it.
  Status SubmitChange(records::RecordBody body, const v1::Actor& actor,
                      v1::ChangeReply* reply) {
    const auto promise = std::make_shared<std::promise<ApplyResult>>();
    std::future<ApplyResult> pending_result = promise->get_future();
    if (deps_.replica.LogIsDown()) {
      return {StatusCode::UNAVAILABLE,
              "the log is unavailable since the last read failed; nothing was "
              "changed"};
    }
    const std::string name = actor.name().empty() ? "unnamed" : actor.name();
    const basilspur::Status submitted = deps_.writer.Submit(
        std::move(body), name,
        [promise](const ApplyResult& result) { promise->set_value(result); });
    if (!IsOk(submitted)) {
      const bool queue_full = ErrorOf(submitted).code == ErrorCode::kOverloaded;
      return {
          queue_full ? StatusCode::RESOURCE_EXHAUSTED : StatusCode::UNAVAILABLE,
          ErrorOf(submitted).ToString()};
    }
    if (pending_result.wait_for(kApplyTimeout) != std::future_status::ready) {
      return {
          StatusCode::DEADLINE_EXCEEDED,
          "the change was not read back from the log within 10 s; it may still "
          "come into force"};
    }
    const ApplyResult result = pending_result.get();
    if (!result.Accepted()) return {ToStatusCode(result.code), result.reason};
    reply->set_version(result.version);
    reply->set_offset(deps_.replica.Read(
        [](const ClusterState& state) { return state.Offset(); }));
    return Status::OK;
  }

  const OperatorServiceDependencies deps_;
  std::unique_ptr<grpc::Server> server_;
};

OperatorService::OperatorService(OperatorServiceDependencies deps)
    : d_(std::make_unique<Private>(std::move(deps))) {}

OperatorService::~OperatorService() { Stop({}); }

basilspur::Status OperatorService::Start(const std::string& address) {
  return d_->Start(address);
}

void OperatorService::Stop(Millis timeout) { d_->Stop(timeout); }

}  // namespace basilspur::operators
