#ifndef BASILSPUR_APP_BASILSPUR_CELL_COMMANDS_H_
#define BASILSPUR_APP_BASILSPUR_CELL_COMMANDS_H_

namespace basilspur::cli {

struct Invocation;

// Commands for VMs, entries and the audit trail. Each returns an exit code.
int DrainVm(Invocation& invocation);
int ReturnVm(Invocation& invocation);
int ListVms(Invocation& invocation);
int ListEntries(Invocation& invocation);
int ShowStatus(Invocation& invocation);
int TopEntries(Invocation& invocation);
int ListAudit(Invocation& invocation);

}  // namespace basilspur::cli

#endif  // BASILSPUR_APP_BASILSPUR_CELL_COMMANDS_H_
