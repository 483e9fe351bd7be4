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
using internal::FindFault;
using internal::FromMessage;
using internal::ToMessage;
using state::ApplyResult;
using state::ApplyResultCode;
using state::ClusterState;

static constexpr LogCategory kLog("operators");
static constexpr std::chrono::seconds kVerdictWait(10);
static constexpr std::size_t kMaxCancelsPerCall = 50'000;

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

/// Calls `add(name, value)` for the object that a query names, or for all.
template <class Table, class Add>
static Status Select(const Table& table, const v1::Query& query, Add add) {
  if (query.name().empty()) {
    std::int64_t count = 0;
    for (const auto& [name, value] : table) {
      if (query.limit() > 0 && count++ == query.limit()) break;
      add(name, value);
    }
    return Status::OK;
  }
  const auto found = table.find(query.name());
  if (found == table.end()) {
    return {StatusCode::NOT_FOUND, query.name() + " does not exist"};
  }
  add(found->first, found->second);
  return Status::OK;
}

class OperatorService::Private final : public v1::Operator::Service {
 public:
  explicit Private(OperatorDeps deps) : deps_(std::move(deps)) {}

  basilspur::Status Start(const std::string& address) {
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
    if (server_ && port != 0) return {};
    return Error{ErrorCode::kUnavailable, "listen", address,
                 "the address can't be bound"};
  }

  void Stop(Millis limit) {
    if (!server_) return;
    server_->Shutdown(std::chrono::system_clock::now() +
                      std::chrono::milliseconds(limit.count));
    server_.reset();
  }

  Status PutService(ServerContext*, const v1::PutServiceRequest* request,
                    v1::ChangeReply* reply) override {
    const std::string fault = FindFault(request->service());
    if (!fault.empty()) return {StatusCode::INVALID_ARGUMENT, fault};
    return Change(records::ServicePut{FromMessage(request->service()),
                                      request->base_version()},
                  request->actor(), reply);
  }

  Status DeleteService(ServerContext*, const v1::DeleteServiceRequest* request,
                       v1::ChangeReply* reply) override {
    return Change(
        records::ServiceDeleted{request->name(), request->base_version()},
        request->actor(), reply);
  }

  Status ListServices(ServerContext*, const v1::Query* query,
                      v1::ServiceList* list) override {
    return deps_.replica.Read([&](const ClusterState& state) {
      return Select(state.ServiceTable(), *query,
                    [&](const std::string&, const state::Service& service) {
                      *list->add_services() = ToMessage(service);
                    });
    });
  }

  Status CreateJob(ServerContext*, const v1::CreateJobRequest* request,
                   v1::ChangeReply* reply) override {
    const std::string fault = FindFault(request->job());
    if (!fault.empty()) return {StatusCode::INVALID_ARGUMENT, fault};
    return Change(records::JobAccepted{FromMessage(request->job())},
                  request->actor(), reply);
  }

  Status CancelJobs(ServerContext*, const v1::CancelJobsRequest* request,
                    v1::ChangeReply* reply) override {
    if (request->ids().empty() ||
        request->ids().size() > static_cast<int>(kMaxCancelsPerCall)) {
      return {StatusCode::INVALID_ARGUMENT, "expected 1 to 50000 ids"};
    }
    records::JobsCancelled body;
    body.ids.assign(request->ids().begin(), request->ids().end());
    return Change(std::move(body), request->actor(), reply);
  }

  Status ListJobs(ServerContext*, const v1::Query* query,
                  v1::JobList* list) override {
    const Status status = deps_.replica.Read([&](const ClusterState& state) {
      internal::WaitingReasons reasons(state);
      return Select(state.JobTable(), *query,
                    [&](const std::string&, const state::Job& job) {
                      v1::Job& message = *list->add_jobs();
                      message = ToMessage(job);
                      if (job.phase != state::JobPhase::kWaiting) return;
                      message.set_reason(reasons.Of(job));
                    });
    });
    for (auto& job : *list->mutable_jobs()) {
      if (job.phase() != "running") continue;
      const std::string obstacle = deps_.run_obstacle(job.id());
      if (!obstacle.empty()) job.set_reason(obstacle);
    }
    return status;
  }

  Status PutTeam(ServerContext*, const v1::PutTeamRequest* request,
                 v1::ChangeReply* reply) override {
    return Change(records::TeamPut{{request->team().name(),
                                    FromMessage(request->team().quota())},
                                   request->base_version()},
                  request->actor(), reply);
  }

  Status ListTeams(ServerContext*, const v1::Query* query,
                   v1::TeamList* list) override {
    return deps_.replica.Read([&](const ClusterState& state) {
      return Select(state.TeamTable(), *query,
                    [&](const std::string&, const state::Team& team) {
                      *list->add_teams() = ToMessage(team);
                    });
    });
  }

  Status PutConfig(ServerContext*, const v1::PutConfigRequest* request,
                   v1::ChangeReply* reply) override {
    if (request->value().key().empty()) {
      return {StatusCode::INVALID_ARGUMENT, "the key is empty"};
    }
    return Change(
        records::ConfigPut{request->value().key(), request->value().value(),
                           request->base_version()},
        request->actor(), reply);
  }

  Status ListConfig(ServerContext*, const v1::Query* query,
                    v1::ConfigList* list) override {
    return deps_.replica.Read([&](const ClusterState& state) {
      return Select(
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
    return Change(records::VmDrained{request->name(), request->draining(),
                                     request->base_version()},
                  request->actor(), reply);
  }

  Status ListVms(ServerContext*, const v1::Query* query,
                 v1::VmList* list) override {
    return deps_.replica.Read([&](const ClusterState& state) {
      return Select(state.VmTable(), *query,
                    [&](const std::string&, const state::Vm& vm) {
                      *list->add_vms() = ToMessage(vm);
                    });
    });
  }

  Status ListEntries(ServerContext*, const v1::Query* query,
                     v1::EntryList* list) override {
    return deps_.replica.Read([&](const ClusterState& state) {
      return Select(state.MemberTable(), *query,
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
    for (const auto& figure : deps_.metrics.Figures(query->name())) {
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
  /// Appends a record and waits for its verdict.
  Status Change(records::RecordBody body, const v1::Actor& actor,
                v1::ChangeReply* reply) {
    const auto verdict = std::make_shared<std::promise<ApplyResult>>();
    std::future<ApplyResult> judged = verdict->get_future();
    if (deps_.replica.LogIsDown()) {
      return {StatusCode::UNAVAILABLE, "the log is down; nothing was changed"};
    }
    const std::string name = actor.name().empty() ? "unnamed" : actor.name();
    const basilspur::Status queued = deps_.writer.Submit(
        std::move(body), name,
        [verdict](const ApplyResult& given) { verdict->set_value(given); });
    if (!IsOk(queued)) {
      const bool full = ErrorOf(queued).code == ErrorCode::kOverloaded;
      return {full ? StatusCode::RESOURCE_EXHAUSTED : StatusCode::UNAVAILABLE,
              ErrorOf(queued).ToString()};
    }
    if (judged.wait_for(kVerdictWait) != std::future_status::ready) {
      return {StatusCode::DEADLINE_EXCEEDED,
              "the log gave no answer; the change may still come into force"};
    }
    const ApplyResult given = judged.get();
    if (!given.Accepted()) return {ToStatusCode(given.code), given.reason};
    reply->set_version(given.version);
    reply->set_offset(deps_.replica.Read(
        [](const ClusterState& state) { return state.Offset(); }));
    return Status::OK;
  }

  const OperatorDeps deps_;
  std::unique_ptr<grpc::Server> server_;
};

OperatorService::OperatorService(OperatorDeps deps)
    : d_(std::make_unique<Private>(std::move(deps))) {}

OperatorService::~OperatorService() { Stop({}); }

basilspur::Status OperatorService::Start(const std::string& address) {
  return d_->Start(address);
}

void OperatorService::Stop(Millis limit) { d_->Stop(limit); }

}  // namespace basilspur::operators
