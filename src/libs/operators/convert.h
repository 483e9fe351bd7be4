#ifndef BASILSPUR_OPERATORS_CONVERT_H_
#define BASILSPUR_OPERATORS_CONVERT_H_

#include <string>

#include "metrics/figure.h"
#include "operator.pb.h"
#include "records/specs.h"
#include "state/cluster_state.h"

namespace basilspur::operators::internal {

// Conversion between the messages of schema/operator.proto and the types of the
// records and the state. Thread safety: any thread.

records::Resources FromMessage(const v1::Resources& message);
records::ServiceSpec FromMessage(const v1::Service& message);
records::JobSpec FromMessage(const v1::Job& message);

v1::Service ToMessage(const state::Service& service);
v1::Team ToMessage(const state::Team& team);
v1::Vm ToMessage(const state::Vm& vm);
v1::Job ToMessage(const state::Job& job);
v1::Entry ToMessage(const std::string& name, const state::Member& member);
v1::AuditRecord ToMessage(const state::AuditEntry& entry);
v1::Figure ToMessage(const metrics::Figure& figure);

/// Returns why a message from an operator is invalid; empty if it is valid.
std::string ValidationError(const v1::Service& message);
std::string ValidationError(const v1::Job& message);

}  // namespace basilspur::operators::internal

#endif  // BASILSPUR_OPERATORS_CONVERT_H_
