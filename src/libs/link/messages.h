#ifndef BASILSPUR_LINK_MESSAGES_H_
#define BASILSPUR_LINK_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "interference/pair_estimate.h"
#include "records/specs.h"
#include "routing/loan.h"

namespace basilspur::link {

/// The first message on a connection, in both directions. Identifies the
/// sender.
struct Hello {
  records::EntryRef sender;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.sender);
  }
};

/// Requests a HeartbeatReply on the same connection.
struct Heartbeat {
  bool stopping = false;  ///< The sender is shutting down.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.stopping);
  }
};

struct HeartbeatReply {
  template <class Self, class A>
  static void Describe(Self&, A& archive) {
    archive();
  }
};

struct ServiceLoad {
  std::string service;
  std::int64_t free_slots = 0;
  std::int64_t queued = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.service, self.free_slots, self.queued);
  }
};

/// The free slots and queue lengths of the sender's services, from which peers
/// decide where to borrow slots.
struct LoadReport {
  std::vector<ServiceLoad> services;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.services);
  }
};

/// Requests a loan of slots of a service.
struct SlotRequest {
  std::string service;
  std::int64_t wanted = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.service, self.wanted);
  }
};

/// Lends slots for `duration_ms`. Each side measures the duration on its own
/// clock: the lender from sending the loan, the borrower from receiving it.
struct SlotLoan {
  std::string service;
  std::int64_t duration_ms = 0;
  std::vector<routing::Loan> loans;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.service, self.duration_ms, self.loans);
  }
};

/// Queries whether the peer has seen a request, and blocks a first send of it
/// there.
struct SeenQuery {
  std::uint64_t query = 0;
  std::string request_id;
  std::int64_t age_ms = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.query, self.request_id, self.age_ms);
  }
};

enum class SeenAnswer {
  kNever,     ///< The request has not run here and is blocked from now on.
  kRunning,   ///< The request is running here, or peers are being queried.
  kAnswered,  ///< The request ran here.
  kUnknown,   ///< This entry has no complete history of the request's lifetime.
};

struct SeenReply {
  std::uint64_t query = 0;
  SeenAnswer answer = SeenAnswer::kUnknown;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.query, self.answer);
  }
};

/// The estimates of interference that are based on the sender's own
/// measurements and have changed notably since its last report.
struct InterferenceReport {
  std::vector<interference::PairEstimate> estimates;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.estimates);
  }
};

/// A message between entries. It is encoded with its index in this list, so new
/// alternatives are added at the end.
using Message =
    std::variant<Hello, Heartbeat, HeartbeatReply, LoadReport, SlotRequest,
                 SlotLoan, SeenQuery, SeenReply, InterferenceReport>;

}  // namespace basilspur::link

#endif  // BASILSPUR_LINK_MESSAGES_H_
