#include "base/logging.h"
#include "cell/cell_owner.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");
/// Time limit for another cell's owner to answer whether it has a job.
static constexpr std::int64_t kMovedJobCheckTimeoutMs = 1'000;
/// A VM that can serve the job has to be started and listed first.
static constexpr std::int64_t kUnservableRetryAfterMs = 30'000;

net::asio::awaitable<JobReply> CellOwner::Handle(JobRequest request) {
  const auto self = shared_from_this();
  if (!ready_ || stopped_) co_return JobReply{ReplyKind::kNotOwner};
  if (scheduler_.Moved().Contains(request.job)) {
    co_return co_await ReplyMoved(request);
  }
  switch (request.kind) {
    case RequestKind::kSubmit:
      co_return co_await Submit(request);
    case RequestKind::kCancel:
      co_return co_await Cancel(request);
    case RequestKind::kStatus:
      co_return StatusOf(request.job);
    case RequestKind::kStepDown:
      break;
    case RequestKind::kCount:
      if (!standing_.is_authoritative())
        co_return JobReply{ReplyKind::kNotOwner};
      co_return JobReply{ReplyKind::kCount,
                         scheduler_.PendingJobs(request.queue)};
  }
  co_return JobReply{ReplyKind::kNotOwner};
}

net::asio::awaitable<JobReply> CellOwner::Submit(const JobRequest& request) {
  if (!scheduler_.HasJob(request.job)) {
    const std::optional<JobReply> refused = Admit(request);
    if (refused) co_return *refused;
    batch_pending_.NotifyAll();
    if (scheduler_.Moved().Contains(request.job)) {
      co_return co_await ReplyMoved(request);
    }
  }
  const Millis deadline = Now() + Millis(request.timeout_ms);
  while (!scheduler_.IsAccepted(request.job)) {
    if (stopped_ || Now() >= deadline) co_return JobReply{ReplyKind::kInDoubt};
    co_await batch_durable_.Wait();
  }
  co_return JobReply{ReplyKind::kAccepted};
}

std::optional<JobReply> CellOwner::Admit(const JobRequest& request) {
  if (draining_) return JobReply{ReplyKind::kNotOwner};
  if (append_started_ &&
      Now() - *append_started_ > settings_.store_stall_timeout) {
    return JobReply{ReplyKind::kUnavailable};
  }
  const jobs::QueueConfig* queue = catalog_.FindQueue(request.queue);
  if (!queue) return JobReply{ReplyKind::kNotOwner};
  // The home cell has admitted a job that moved.
  if (!request.moved) {
    const auto refused = RefuseUnservable(request, queue->service);
    if (refused) return refused;
  }
  const int cell = request.moved
                       ? ownership_.cell
                       : callbacks_.choose_cell(ownership_.cell, request.job,
                                                queue->service, request.spec);
  if (cell != ownership_.cell) {
    scheduler_.Moved().Add(request.job, cell, Now());
    kLog.Info("event=job_moved job=" + request.job + " from=" +
              std::to_string(ownership_.cell) + " to=" + std::to_string(cell));
    return std::nullopt;
  }
  const jobs::SubmitResult result = scheduler_.Submit(
      request.job, *queue, request.spec, clock_.Wall().count, Now());
  if (result == jobs::SubmitResult::kTooManyJobs) {
    JobReply reply{ReplyKind::kBusy};
    reply.retry_after_ms =
        queue_outlook_.RoomIn(scheduler_.ActiveJobs(), Now()).count;
    kLog.Info("event=job_refused job=" + request.job +
              " reason=too_many_jobs active=" +
              std::to_string(scheduler_.ActiveJobs()) + " retry_after_ms=" +
              std::to_string(reply.retry_after_ms) + LogFields());
    return reply;
  }
  return std::nullopt;
}

static const char* NameOf(jobs::AdmissionRefusal refusal) {
  switch (refusal) {
    case jobs::AdmissionRefusal::kTooLarge:
      return "task_too_large";
    case jobs::AdmissionRefusal::kGangTooLarge:
      return "gang_too_large";
    case jobs::AdmissionRefusal::kMissingLabel:
      return "missing_label";
  }
  return "";
}

std::optional<JobReply> CellOwner::RefuseUnservable(
    const JobRequest& request, const std::string& service) const {
  if (!callbacks_.check_admission) return std::nullopt;
  const auto refusal = callbacks_.check_admission(service, request.spec);
  if (!refusal) return std::nullopt;
  kLog.Info("event=job_refused job=" + request.job + " reason=" +
            NameOf(*refusal) + " service=" + service + LogFields());
  JobReply reply{ReplyKind::kBusy};
  reply.retry_after_ms = kUnservableRetryAfterMs;
  return reply;
}

net::asio::awaitable<JobReply> CellOwner::ReplyMoved(
    const JobRequest& request) {
  const Millis deadline = Now() + Millis(request.timeout_ms);
  for (;;) {
    const std::optional<int> cell = scheduler_.Moved().CellOf(request.job);
    if (cell && request.kind == RequestKind::kSubmit)
      scheduler_.Moved().OnSubmissionRedirected(request.job, Now());
    if (cell) co_return JobReply{ReplyKind::kMoved, *cell};
    if (stopped_ || Now() >= deadline) co_return JobReply{ReplyKind::kInDoubt};
    co_await batch_durable_.Wait();
  }
}

net::asio::awaitable<void> CellOwner::CheckMovedJob(
    [[maybe_unused]] std::shared_ptr<CellOwner> self) {
  const std::optional<std::string> job = scheduler_.Moved().NextToCheck(
      settings_.scheduler.ended_job_retention, Now());
  if (!job) co_return;
  JobRequest request;
  request.kind = RequestKind::kStatus;
  request.job = *job;
  request.moved = true;
  request.cell = *scheduler_.Moved().CellOf(*job);
  request.timeout_ms = kMovedJobCheckTimeoutMs;
  const JobReply reply =
      co_await callbacks_.forward_request(std::move(request));
  if (stopped_ || draining_ || reply.kind != ReplyKind::kNoSuchJob) co_return;
  // A submission that is under way would be accepted there, and its repetition
  // by this cell.
  if (!scheduler_.Moved().RemoveUnlessRedirected(*job)) co_return;
  batch_pending_.NotifyAll();
}

net::asio::awaitable<JobReply> CellOwner::Cancel(const JobRequest& request) {
  if (!scheduler_.HasJob(request.job)) {
    co_return JobReply{standing_.is_authoritative() ? ReplyKind::kNoSuchJob
                                                    : ReplyKind::kNotOwner,
                       0};
  }
  if (draining_ && !scheduler_.IsEnded(request.job))
    co_return JobReply{ReplyKind::kNotOwner};
  scheduler_.Cancel(request.job, clock_.Wall().count);
  SchedulePlan();
  batch_pending_.NotifyAll();
  const Millis deadline = Now() + Millis(request.timeout_ms);
  while (!scheduler_.IsEnded(request.job)) {
    if (stopped_ || Now() >= deadline) co_return JobReply{ReplyKind::kInDoubt};
    co_await batch_durable_.Wait();
  }
  co_return JobReply{ReplyKind::kCancelled};
}

JobReply CellOwner::StatusOf(const std::string& job) const {
  const std::optional<jobs::VisibleJobState> state =
      scheduler_.VisibleStateOf(job);
  if (!state) {
    return {standing_.is_authoritative() ? ReplyKind::kNoSuchJob
                                         : ReplyKind::kNotOwner};
  }
  switch (*state) {
    case jobs::VisibleJobState::kQueued:
      return {ReplyKind::kQueued};
    case jobs::VisibleJobState::kRunning:
      return {ReplyKind::kRunning};
    case jobs::VisibleJobState::kDone:
      return {ReplyKind::kDone};
    case jobs::VisibleJobState::kFailed:
      return {ReplyKind::kFailed};
    case jobs::VisibleJobState::kCancelled:
      return {ReplyKind::kWasCancelled};
  }
  return {ReplyKind::kNotOwner};
}

}  // namespace basilspur::cell
