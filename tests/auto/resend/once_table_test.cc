#include "resend/once_table.h"

#include <catch2/catch.hpp>

using basilspur::Millis;
using basilspur::link::SeenAnswer;
using basilspur::resend::OnceTable;
using basilspur::resend::RequestVerdict;

static constexpr Millis kStart(1'000);
static constexpr Millis kLater(101'000);

TEST_CASE("the first send of a request runs once") {
  OnceTable table(kStart);
  CHECK(table.BeginFirst("r", kLater) == RequestVerdict::kRun);
  CHECK(table.BeginFirst("r", kLater) == RequestVerdict::kRunning);
  table.Finish("r", true);
  CHECK(table.BeginFirst("r", kLater) == RequestVerdict::kAnswered);
}

TEST_CASE("an entry that was queried refuses a late first send") {
  OnceTable table(kStart);
  CHECK(table.AnswerPeer("r", Millis(500), kLater) == SeenAnswer::kNever);
  CHECK(table.BeginFirst("r", kLater) == RequestVerdict::kSuperseded);
}

TEST_CASE("an entry answers never-seen only for a time that it was up") {
  OnceTable table(kStart);
  const Millis soon = kStart + Millis(3'000);
  CHECK(table.AnswerPeer("r", Millis(2'000), soon) == SeenAnswer::kUnknown);
  CHECK(table.BeginResend("q", Millis(2'000), soon) ==
        RequestVerdict::kUnknown);
  CHECK(table.AnswerPeer("p", OnceTable::kRetention, kLater * 100) ==
        SeenAnswer::kUnknown);
}

TEST_CASE("an entry that has just started refuses first sends") {
  OnceTable table(kStart);
  const Millis soon = kStart + OnceTable::kMaxSendDelay - Millis(1);
  CHECK(table.BeginFirst("r", soon) == RequestVerdict::kNotReady);
}

TEST_CASE("a request that was not run can be run by a resend") {
  OnceTable table(kStart);
  REQUIRE(table.BeginFirst("r", kLater) == RequestVerdict::kRun);
  table.Finish("r", false);
  CHECK(table.AnswerPeer("r", Millis(100), kLater) == SeenAnswer::kNever);
  CHECK(table.BeginResend("r", Millis(200), kLater) ==
        RequestVerdict::kQueryPeers);
  CHECK(table.AnswerPeer("r", Millis(200), kLater) == SeenAnswer::kRunning);
  table.EndPeerQuery("r", true);
  CHECK(table.AnswerPeer("r", Millis(300), kLater) == SeenAnswer::kRunning);
}

TEST_CASE("expired requests are removed unless they are running") {
  OnceTable table(kStart);
  table.BeginFirst("done", kLater);
  table.Finish("done", true);
  table.BeginFirst("running", kLater);
  const Millis much_later = kLater + OnceTable::kRetention + Millis(1);
  table.Expire(much_later);
  CHECK(table.Size() == 1);
  CHECK(table.AnswerPeer("running", Millis(0), much_later) ==
        SeenAnswer::kRunning);
}
