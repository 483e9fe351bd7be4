#include "soak/entry_operator.h"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <thread>

namespace basilspur::soak {

/// The termination grace in the deployment's settings.
static constexpr Millis kGrace(4'000);
static constexpr std::chrono::milliseconds kPollInterval(5);
/// An entry is not stopped earlier after its start, since a process that has
/// not reached its signal handler yet can't exit with status 0.
static constexpr Millis kMinAge(300);
/// An entry that has started earlier than this counts as serving.
static constexpr Millis kStartTime(1'000);
/// No entry exits sooner after its SIGTERM.
static constexpr Millis kMinStopTime(2'400);
static constexpr int kMaxRestartDelayMs = 800;
static constexpr Millis kRepeatDelay(300);
static constexpr int kSlowStoreDelayMs = 150;

EntryOperator::EntryOperator(const SoakPlan& plan,
                             system_test::PlatformDeployment& deployment)
    : plan_(plan),
      deployment_(deployment),
      random_(plan.seed),
      entries_(plan.entries),
      repeats_(plan.entries),
      notes_(deployment.LogFolder() + "/operator.txt") {}

void EntryOperator::Signal(int number, int signal) {
  Note(number, "signal " + std::to_string(signal));
  deployment_.Signal(number, signal);
}

void EntryOperator::Note(int number, const std::string& event) {
  const std::int64_t now = clock_.Wall().count;
  const std::time_t seconds = now / 1'000;
  std::tm time{};
  gmtime_r(&seconds, &time);
  notes_ << std::put_time(&time, "%Y-%m-%dT%H:%M:%S.") << std::setw(3)
         << std::setfill('0') << now % 1'000 << " entry-" << number << " "
         << event << std::endl;
}

void EntryOperator::CarryOut() {
  const Millis started = Now();
  auto next = plan_.actions.begin();
  while (next != plan_.actions.end() || !AllRun()) {
    if (next != plan_.actions.end() && Now() >= started + next->at) {
      Apply(*next++);
    }
    Poll();
    std::this_thread::sleep_for(kPollInterval);
  }
}

void EntryOperator::StopAll() {
  restarts_ = false;
  for (int i = 0; i < plan_.entries; ++i) StopEntry(i, /*twice=*/false);
  const auto runs = [](const Entry& entry) { return entry.runs; };
  while (std::any_of(entries_.begin(), entries_.end(), runs)) {
    Poll();
    std::this_thread::sleep_for(kPollInterval);
  }
}

void EntryOperator::Apply(const Action& action) {
  using Kind = Action::Kind;
  if (action.kind == Kind::kSlow || action.kind == Kind::kRefuse ||
      action.kind == Kind::kDrop) {
    SetStoreFault(action);
    return;
  }
  const int number = PickEntry(action);
  if (number < 0 || !entries_[number].runs) return;
  if (action.kind == Kind::kKill) {
    entries_[number].killed = true;
    Signal(number, SIGKILL);
  } else if (action.kind == Kind::kFreeze) {
    FreezeEntry(number, action.duration);
  } else if (MayStop()) {
    StopEntry(number, action.kind == Kind::kStopTwice);
  }
}

int EntryOperator::PickEntry(const Action& action) {
  if (action.target == Target::kOwner) return deployment_.FindOwner();
  if (action.target == Target::kNewest) {
    const auto newest = std::max_element(entries_.begin(), entries_.end(),
                                         [](const Entry& a, const Entry& b) {
                                           return a.started_at < b.started_at;
                                         });
    return static_cast<int>(newest - entries_.begin());
  }
  int& next = next_in_series_[action.series];
  return (action.series * plan_.entries / 3 + next++) % plan_.entries;
}

bool EntryOperator::MayStop() const {
  if (!plan_.keeps_some) return true;
  const auto serving = std::count_if(
      entries_.begin(), entries_.end(), [this](const Entry& entry) {
        return entry.runs && !entry.stopping_since &&
               Now() - entry.started_at > kStartTime;
      });
  return serving > plan_.entries / 3;
}

void EntryOperator::StopEntry(int number, bool twice) {
  Entry& entry = entries_[number];
  if (!entry.runs || Now() - entry.started_at < kMinAge) return;
  ++stops_;
  Signal(number, SIGTERM);
  if (!entry.stopping_since) entry.stopping_since = Now();
  if (twice) repeats_[number] = Now() + kRepeatDelay;
}

void EntryOperator::FreezeEntry(int number, Millis duration) {
  Entry& entry = entries_[number];
  Signal(number, SIGSTOP);
  entry.frozen_until = Now() + duration;
  entry.was_frozen = true;
}

void EntryOperator::Poll() {
  for (int i = 0; i < plan_.entries; ++i) PollProcess(i);
  EndStoreFaults();
}

void EntryOperator::PollProcess(int number) {
  Entry& entry = entries_[number];
  if (!entry.runs) {
    if (!restarts_ || Now() < entry.restart_at) return;
    deployment_.StartEntry(number);
    Note(number, "start");
    entry = Entry();
    entry.started_at = Now();
    return;
  }
  if (const auto exit_code = deployment_.TryWaitForExit(number)) {
    Note(number, "exit " + std::to_string(*exit_code));
    CheckExit(number, *exit_code);
    entry.runs = false;
    entry.restart_at = Now() + Millis(std::uniform_int_distribution<int>(
                                   100, kMaxRestartDelayMs)(random_));
    return;
  }
  if (entry.frozen_until && Now() >= *entry.frozen_until) {
    Signal(number, SIGCONT);
    entry.frozen_until.reset();
  }
  if (repeats_[number] > Millis(0) && Now() >= repeats_[number]) {
    Signal(number, SIGTERM);
    repeats_[number] = Millis(0);
  }
  NoteState(number);
  const bool is_over =
      entry.stopping_since && Now() - *entry.stopping_since >= kGrace;
  if (is_over && !entry.grace_over) {
    entry.grace_over = true;
    Note(number, "grace is over");
    Signal(number, SIGKILL);
  }
}

void EntryOperator::NoteState(int number) {
  Entry& entry = entries_[number];
  if (!entry.stopping_since || Now() - *entry.stopping_since < kMinStopTime) {
    return;
  }
  const std::string state = deployment_.ProcessState(number);
  if (state == entry.state) return;
  entry.state = state;
  if (state.find("disk sleep") != std::string::npos) entry.was_on_disk = true;
  Note(number, state);
}

void EntryOperator::CheckExit(int number, int exit_code) {
  const Entry& entry = entries_[number];
  repeats_[number] = Millis(0);
  if (entry.killed || entry.was_frozen) return;
  if (entry.stopping_since && exit_code == 0) return;
  // The system may take seconds to load a program while the disk is busy.
  if (entry.was_on_disk && !deployment_.HasLogged(number)) {
    Note(number, "ended before its program had begun");
    return;
  }
  findings_.push_back(
      "exit: entry " + std::to_string(number) + " ended with " +
      std::to_string(exit_code) + " " +
      (entry.stopping_since
           ? std::to_string((Now() - *entry.stopping_since).count) +
                 " ms after SIGTERM"
           : std::string("by itself")));
}

void EntryOperator::SetStoreFault(const Action& action) {
  const Millis end = Now() + action.duration;
  Millis& planned_end = store_faults_end_[action.kind];
  if (planned_end < end) planned_end = end;
  if (action.kind == Action::Kind::kSlow) {
    deployment_.store.delay_ms = kSlowStoreDelayMs;
  } else if (action.kind == Action::Kind::kRefuse) {
    deployment_.store.unavailable = true;
  } else {
    deployment_.store.drop_append_responses = true;
  }
}

void EntryOperator::EndStoreFaults() {
  const auto ended = [this](Action::Kind kind) {
    const auto found = store_faults_end_.find(kind);
    return found != store_faults_end_.end() && Now() >= found->second;
  };
  if (ended(Action::Kind::kSlow)) deployment_.store.delay_ms = 0;
  if (ended(Action::Kind::kRefuse)) deployment_.store.unavailable = false;
  if (ended(Action::Kind::kDrop))
    deployment_.store.drop_append_responses = false;
}

bool EntryOperator::AllRun() const {
  return std::all_of(entries_.begin(), entries_.end(), [](const Entry& entry) {
    return entry.runs && !entry.stopping_since && !entry.killed &&
           !entry.frozen_until;
  });
}

}  // namespace basilspur::soak
