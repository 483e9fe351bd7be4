#include "resend/request_history.h"

#include <catch2/catch.hpp>

using basilspur::Millis;
using basilspur::link::SeenAnswer;
using basilspur::resend::RequestHistory;
using basilspur::resend::RequestVerdict;

static constexpr Millis kStart(1'000);
static constexpr Millis kLater(101'000);

TEST_CASE("the first send of a request runs once") {
  RequestHistory history(kStart);
  CHECK(history.BeginFirst("r", kLater) == RequestVerdict::kRun);
  CHECK(history.BeginFirst("r", kLater) == RequestVerdict::kRunning);
  history.Finish("r", true);
  CHECK(history.BeginFirst("r", kLater) == RequestVerdict::kAnswered);
}

TEST_CASE("an entry that was queried refuses a late first send") {
  RequestHistory history(kStart);
  CHECK(history.AnswerPeer("r", Millis(500), kLater) == SeenAnswer::kNever);
  CHECK(history.BeginFirst("r", kLater) == RequestVerdict::kSuperseded);
}

TEST_CASE("an entry answers never-seen only for a time that it was up") {
  RequestHistory history(kStart);
  const Millis soon = kStart + Millis(3'000);
  CHECK(history.AnswerPeer("r", Millis(2'000), soon) == SeenAnswer::kUnknown);
  CHECK(history.BeginResend("q", Millis(2'000), soon) ==
        RequestVerdict::kUnknown);
  CHECK(history.AnswerPeer("p", RequestHistory::kRetention, kLater * 100) ==
        SeenAnswer::kUnknown);
}

TEST_CASE("an entry that has just started refuses first sends") {
  RequestHistory history(kStart);
  const Millis soon = kStart + RequestHistory::kMaxSendDelay - Millis(1);
  CHECK(history.BeginFirst("r", soon) == RequestVerdict::kNotReady);
}

TEST_CASE("a request that was not run can be run by a resend") {
  RequestHistory history(kStart);
  REQUIRE(history.BeginFirst("r", kLater) == RequestVerdict::kRun);
  history.Finish("r", false);
  CHECK(history.AnswerPeer("r", Millis(100), kLater) == SeenAnswer::kNever);
  CHECK(history.BeginResend("r", Millis(200), kLater) ==
        RequestVerdict::kQueryPeers);
  CHECK(history.AnswerPeer("r", Millis(200), kLater) == SeenAnswer::kRunning);
  history.EndPeerQuery("r", true);
  CHECK(history.AnswerPeer("r", Millis(300), kLater) == SeenAnswer::kRunning);
}

TEST_CASE("expired requests are removed unless they are running") {
  RequestHistory history(kStart);
  history.BeginFirst("done", kLater);
  history.Finish("done", true);
  history.BeginFirst("running", kLater);
  const Millis much_later = kLater + RequestHistory::kRetention + Millis(1);
  history.Expire(much_later);
  CHECK(history.Size() == 1);
  CHECK(history.AnswerPeer("running", Millis(0), much_later) ==
        SeenAnswer::kRunning);
}
