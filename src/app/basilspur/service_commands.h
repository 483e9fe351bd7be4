#ifndef BASILSPUR_APP_BASILSPUR_SERVICE_COMMANDS_H_
#define BASILSPUR_APP_BASILSPUR_SERVICE_COMMANDS_H_

namespace basilspur::cli {

struct Invocation;

// Commands for services. Each returns an exit code.
int PutService(Invocation& invocation);
int DeleteService(Invocation& invocation);
int ListServices(Invocation& invocation);

}  // namespace basilspur::cli

#endif  // BASILSPUR_APP_BASILSPUR_SERVICE_COMMANDS_H_
