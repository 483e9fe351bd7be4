#ifndef BASILSPUR_APP_BASILSPUR_CATALOG_COMMANDS_H_
#define BASILSPUR_APP_BASILSPUR_CATALOG_COMMANDS_H_

namespace basilspur::cli {

struct Invocation;

// Commands for teams and configuration. Each returns an exit code.
int PutTeam(Invocation& invocation);
int ListTeams(Invocation& invocation);
int PutConfig(Invocation& invocation);
int ListConfig(Invocation& invocation);

}  // namespace basilspur::cli

#endif  // BASILSPUR_APP_BASILSPUR_CATALOG_COMMANDS_H_
