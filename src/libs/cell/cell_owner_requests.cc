#include "cell/cell_owner.h"

namespace basilspur::cell {

net::asio::awaitable<JobReply> CellOwner::Handle(JobRequest request) {
  const auto self = shared_from_this();
  if (!ready_ || stopped_) co_return JobReply{ReplyKind::kNotOwner};
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
      co_return JobReply{ReplyKind::kCount, scheduler_.Pending(request.queue)};
  }
  co_return JobReply{ReplyKind::kNotOwner};
}

net::asio::awaitable<JobReply> CellOwner::Submit(const JobRequest& request) {
  if (!scheduler_.Knows(request.job)) {
    if (draining_) co_return JobReply{ReplyKind::kNotOwner};
    if (append_began_ && Now() - *append_began_ > settings_.store_stalled) {
      co_return JobReply{ReplyKind::kUnavailable};
    }
    const jobs::QueueConfig* queue = catalog_.FindQueue(request.queue);
    if (!queue) co_return JobReply{ReplyKind::kNotOwner};
    const jobs::SubmitVerdict verdict = scheduler_.Submit(
        request.job, *queue, request.spec, clock_.Wall().count, Now());
    if (verdict == jobs::SubmitVerdict::kTooManyJobs) {
      co_return JobReply{ReplyKind::kBusy};
    }
    dirty_.NotifyAll();
  }
  const Millis until = Now() + Millis(request.patience_ms);
  while (!scheduler_.IsAccepted(request.job)) {
    if (stopped_ || Now() >= until) co_return JobReply{ReplyKind::kInDoubt};
    co_await flushed_.Wait();
  }
  co_return JobReply{ReplyKind::kAccepted};
}

net::asio::awaitable<JobReply> CellOwner::Cancel(const JobRequest& request) {
  if (!scheduler_.Knows(request.job)) {
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
  const std::optional<jobs::ShownState> state = scheduler_.Shown(job);
  if (!state) {
    return {is_fresh_() ? ReplyKind::kNoSuchJob : ReplyKind::kNotOwner};
  }
  switch (*state) {
    case jobs::ShownState::kQueued:
      return {ReplyKind::kQueued};
    case jobs::ShownState::kRunning:
      return {ReplyKind::kRunning};
    case jobs::ShownState::kDone:
      return {ReplyKind::kDone};
    case jobs::ShownState::kFailed:
      return {ReplyKind::kFailed};
    case jobs::ShownState::kCancelled:
      return {ReplyKind::kWasCancelled};
  }
  return {ReplyKind::kNotOwner};
}

}  // namespace basilspur::cell
