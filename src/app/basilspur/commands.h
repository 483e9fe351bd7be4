#ifndef BASILSPUR_APP_BASILSPUR_COMMANDS_H_
#define BASILSPUR_APP_BASILSPUR_COMMANDS_H_

#include <cxxopts.hpp>
#include <span>
#include <string>

#include "client.h"

namespace basilspur::cli {

/// The parsed command line and the client for the calls.
struct Invocation {
  const cxxopts::ParseResult& options;
  std::vector<std::string> arguments;  ///< The arguments after "OBJECT ACTION".
  Client& client;
};

/// A command, identified by "OBJECT ACTION".
struct Command {
  const char* object;
  const char* action;
  const char* arguments;  ///< Placeholders shown in the help text.
  const char* help;
  std::size_t min_arguments;
  std::size_t max_arguments;
  int (*run)(Invocation& invocation);
};

/// All commands, in the order of the help text.
std::span<const Command> AllCommands();

/// Adds the options of all commands.
void AddCommandOptions(cxxopts::Options& options);

}  // namespace basilspur::cli

#endif  // BASILSPUR_APP_BASILSPUR_COMMANDS_H_
