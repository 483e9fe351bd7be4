#include "base/logging.h"
#include "cell/cell_owner.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");
/// How long another cell's owner may take to say whether it knows a job.
static constexpr std::int64_t kCheckPatienceMs = 1'000;

net::asio::awaitable<JobReply> CellOwner::Handle(JobRequest request) {
  const auto self = shared_from_this();
  if (!ready_ || stopped_) co_return JobReply{ReplyKind::kNotOwner};
  if (scheduler_.Moved().Contains(request.job)) {
    co_return co_await TellMoved(request);
  }
  switch (request.kind) {
    case RequestKind::kSubmit:
      co_return co_await Submit(request);
    case RequestKind::kCancel:
      co_return co_await Cancel(request);
    case RequestKind::kStatus:
      co_return ShowStatus(request.job);
    case RequestKind::kStandDown:
      break;
    case RequestKind::kCount:
      if (!is_fresh_()) co_return JobReply{ReplyKind::kNotOwner};
      co_return JobReply{ReplyKind::kCount,
                         scheduler_.PendingJobs(request.queue)};
  }
  co_return JobReply{ReplyKind::kNotOwner};
}

net::asio::awaitable<JobReply> CellOwner::Submit(const JobRequest& request) {
  if (!scheduler_.HasJob(request.job)) {
    const std::optional<JobReply> refused = Admit(request);
    if (refused) co_return *refused;
    dirty_.NotifyAll();
    if (scheduler_.Moved().Contains(request.job)) {
      co_return co_await TellMoved(request);
    }
  }
  const Millis until = Now() + Millis(request.patience_ms);
  while (!scheduler_.IsAccepted(request.job)) {
    if (stopped_ || Now() >= until) co_return JobReply{ReplyKind::kInDoubt};
    co_await flushed_.Wait();
  }
  co_return JobReply{ReplyKind::kAccepted};
}

std::optional<JobReply> CellOwner::Admit(const JobRequest& request) {
  if (draining_) return JobReply{ReplyKind::kNotOwner};
  if (append_began_ && Now() - *append_began_ > settings_.store_stalled) {
    return JobReply{ReplyKind::kUnavailable};
  }
  const jobs::QueueConfig* queue = catalog_.FindQueue(request.queue);
  if (!queue) return JobReply{ReplyKind::kNotOwner};
  const int cell = request.moved
                       ? ownership_.cell
                       : surroundings_.choose_cell(ownership_.cell, request.job,
                                                   request.spec);
  if (cell != ownership_.cell) {
    scheduler_.Moved().Add(request.job, cell, Now());
    kLog.Info("event=job_moved job=" + request.job + " from=" +
              std::to_string(ownership_.cell) + " to=" + std::to_string(cell));
    return std::nullopt;
  }
  const jobs::SubmitResult verdict = scheduler_.Submit(
      request.job, *queue, request.spec, clock_.Wall().count, Now());
  if (verdict == jobs::SubmitResult::kTooManyJobs) {
    return JobReply{ReplyKind::kBusy};
  }
  return std::nullopt;
}

net::asio::awaitable<JobReply> CellOwner::TellMoved(const JobRequest& request) {
  const Millis until = Now() + Millis(request.patience_ms);
  for (;;) {
    const std::optional<int> cell = scheduler_.Moved().CellOf(request.job);
    if (cell) co_return JobReply{ReplyKind::kMoved, *cell};
    if (stopped_ || Now() >= until) co_return JobReply{ReplyKind::kInDoubt};
    co_await flushed_.Wait();
  }
}

net::asio::awaitable<void> CellOwner::CheckMoved() {
  const auto self = shared_from_this();
  const std::optional<std::string> job = scheduler_.Moved().NextToCheck(
      settings_.scheduler.ended_job_retention, Now());
  if (!job) co_return;
  JobRequest request;
  request.kind = RequestKind::kStatus;
  request.job = *job;
  request.moved = true;
  request.cell = *scheduler_.Moved().CellOf(*job);
  request.patience_ms = kCheckPatienceMs;
  const JobReply reply = co_await surroundings_.ask(std::move(request));
  if (stopped_ || reply.kind != ReplyKind::kNoSuchJob) co_return;
  scheduler_.Moved().Remove(*job);
  dirty_.NotifyAll();
}

net::asio::awaitable<JobReply> CellOwner::Cancel(const JobRequest& request) {
  if (!scheduler_.HasJob(request.job)) {
    co_return JobReply{
        is_fresh_() ? ReplyKind::kNoSuchJob : ReplyKind::kNotOwner, 0};
  }
  scheduler_.Cancel(request.job, clock_.Wall().count);
  Wake();
  dirty_.NotifyAll();
  const Millis until = Now() + Millis(request.patience_ms);
  while (!scheduler_.IsEnded(request.job)) {
    if (stopped_ || Now() >= until) co_return JobReply{ReplyKind::kInDoubt};
    co_await flushed_.Wait();
  }
  co_return JobReply{ReplyKind::kCancelled};
}

JobReply CellOwner::ShowStatus(const std::string& job) const {
  const std::optional<jobs::VisibleJobState> state =
      scheduler_.VisibleStateOf(job);
  if (!state) {
    return {is_fresh_() ? ReplyKind::kNoSuchJob : ReplyKind::kNotOwner};
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
