#ifndef BASILSPUR_CELL_DELEGATION_MESSAGES_H_
#define BASILSPUR_CELL_DELEGATION_MESSAGES_H_

#include <string>

#include "jobs/delegation.h"

namespace basilspur::cell {

/// Sent by the owner of a job's home cell to the owner of a host cell: what is
/// delegated to that cell.
struct DelegationRequest {
  int cell = 0;  ///< The host cell.
  jobs::Delegation delegation;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.cell, self.delegation);
  }
};

struct DelegationReply {
  std::string incarnation;  ///< Identifies the process that replied.
  bool served = false;      ///< The replying process owns the host cell.
  jobs::DelegationReport report;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.incarnation, self.served, self.report);
  }
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_DELEGATION_MESSAGES_H_
