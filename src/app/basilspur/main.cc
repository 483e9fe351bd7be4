#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include "client.h"
#include "commands.h"
#include "exit_code.h"
#include "settings/settings_loader.h"

using basilspur::cli::Client;
using basilspur::cli::Command;
using basilspur::cli::Invocation;
using basilspur::settings::SettingsError;
namespace cli = basilspur::cli;

static std::string DefaultActor() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "unnamed" : user;
}

static cxxopts::Options MakeOptions() {
  cxxopts::Options options("basilspur", "Operates a basilspur cell.");
  options.custom_help("OBJECT ACTION [OPTION...]");
  options.positional_help("");
  options.add_options()(
      "entry", "operator addresses of entries, tried in turn",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "127.0.0.1:8081"))(
      "actor", "name of the operator in the audit trail",
      cxxopts::value<std::string>()->default_value(DefaultActor()))(
      "timeout-call-ms", "time-out of a call, in milliseconds",
      cxxopts::value<std::int64_t>()->default_value("12000"))(
      "json", "print JSON")("h,help", "show help")(
      "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  cli::AddCommandOptions(options);
  return options;
}

/// Prints help for the commands of one object, or for all commands if `object`
/// is empty.
static void PrintHelp(const cxxopts::Options& options,
                      const std::string& object) {
  std::cout << "basilspur OBJECT ACTION [OPTION...]\n\n";
  for (const auto& command : cli::AllCommands()) {
    if (!object.empty() && object != command.object) continue;
    std::cout << "  " << command.object << " " << command.action << " "
              << command.arguments << "\n        " << command.help << "\n";
  }
  if (object.empty() || object == "check") {
    std::cout
        << "  check FILE\n        validate a settings file of basilspurd\n";
  }
  const std::string text = options.help();
  std::cout << text.substr(text.find("\n\n") + 1);
}

static int CheckSettings(const std::string& file) {
  const auto loaded = basilspur::settings::LoadSettings(file);
  const auto* errors = std::get_if<std::vector<SettingsError>>(&loaded);
  if (errors == nullptr) {
    std::cout << file << ": valid settings\n";
    return cli::kSuccess;
  }
  for (const auto& error : *errors) std::cerr << error.ToString() << "\n";
  return cli::kUsageError;
}

static const Command* FindCommand(const std::vector<std::string>& positional) {
  for (const auto& command : cli::AllCommands()) {
    if (positional[0] != command.object || positional[1] != command.action)
      continue;
    const std::size_t count = positional.size() - 2;
    const bool count_allowed =
        count >= command.min_arguments && count <= command.max_arguments;
    return count_allowed ? &command : nullptr;
  }
  return nullptr;
}

static int Run(const cxxopts::Options& options,
               const cxxopts::ParseResult& parsed) {
  std::vector<std::string> positional;
  if (parsed.count("words") > 0) {
    positional = parsed["words"].as<std::vector<std::string>>();
  }
  if (parsed.count("help") > 0) {
    PrintHelp(options, positional.empty() ? "" : positional[0]);
    return cli::kSuccess;
  }
  if (positional.size() == 2 && positional[0] == "check")
    return CheckSettings(positional[1]);
  const Command* command =
      positional.size() < 2 ? nullptr : FindCommand(positional);
  if (command == nullptr) {
    std::cerr << "basilspur: unknown command or wrong number of arguments; see "
                 "basilspur --help\n";
    return cli::kUsageError;
  }
  Client client(parsed["entry"].as<std::vector<std::string>>(),
                parsed["timeout-call-ms"].as<std::int64_t>());
  Invocation invocation{
      parsed, {positional.begin() + 2, positional.end()}, client};
  return command->run(invocation);
}

int main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    return Run(options, parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "basilspur: " << error.what() << "\n";
    return cli::kUsageError;
  }
}
