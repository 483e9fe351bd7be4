#include "commands.h"

#include <array>
#include <limits>

#include "catalog_commands.h"
#include "cell_commands.h"
#include "job_commands.h"
#include "service_commands.h"

namespace basilspur::cli {

static constexpr std::size_t kUnlimited =
    std::numeric_limits<std::size_t>::max();

static constexpr std::array kCommands = {
    Command{"service", "put", "NAME", "create or change a service", 1, 1,
            PutService},
    Command{"service", "delete", "NAME", "delete a service", 1, 1,
            DeleteService},
    Command{"service", "list", "[NAME]", "show services", 0, 1, ListServices},
    Command{"job", "create", "[ID]", "create a batch job", 0, 1, CreateJob},
    Command{"job", "cancel", "ID...", "cancel jobs", 1, kUnlimited, CancelJobs},
    Command{"job", "list", "[ID]", "show jobs and the reasons why they wait", 0,
            1, ListJobs},
    Command{"team", "put", "NAME", "set the quota of a team", 1, 1, PutTeam},
    Command{"team", "list", "[NAME]", "show teams with quota and use", 0, 1,
            ListTeams},
    Command{"config", "put", "KEY VALUE", "set a configuration value", 2, 2,
            PutConfig},
    Command{"config", "list", "[KEY]", "show configuration values and versions",
            0, 1, ListConfig},
    Command{"vm", "drain", "NAME", "drain a VM: move its work to other VMs", 1,
            1, DrainVm},
    Command{"vm", "return", "NAME", "return a VM to service", 1, 1, ReturnVm},
    Command{"vm", "list", "[NAME]", "show VMs", 0, 1, ListVms},
    Command{"entry", "list", "[NAME]", "show entries", 0, 1, ListEntries},
    Command{"entry", "status", "[digest]",
            "show log position and job counts of an entry", 0, 1, ShowStatus},
    Command{"entry", "top", "[PREFIX]",
            "show the metrics of all entries, repeatedly", 0, 1, TopEntries},
    Command{"audit", "list", "", "show the changes that operators submitted", 0,
            0, ListAudit},
};

std::span<const Command> AllCommands() { return kCommands; }

void AddCommandOptions(cxxopts::Options& options) {
  options.add_options("Change")(
      "base-version",
      "version that the change is based on (default: the current version)",
      cxxopts::value<std::int64_t>())(
      "wait",
      "wait until the job ends, or the change is in force on all entries");
  options.add_options("Size")(
      "cpu", "CPU in thousandths of a core",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "memory", "memory in MiB",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "accelerators", "number of accelerators",
      cxxopts::value<std::int64_t>()->default_value("0"));
  options.add_options("Service and job")(
      "team", "team whose quota is charged",
      cxxopts::value<std::string>()->default_value(""))(
      "target",
      "ADDRESS/SLOTS[/VM[/DATA_CENTER]]; repeat the option for each target",
      cxxopts::value<std::vector<std::string>>())(
      "timeout-ms",
      "time-out in ms for requests without one of their own; 0: the default",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "queue-limit",
      "maximum number of requests queued at an entry; 0: the default",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "kind", "class of jobs for which interference is estimated together",
      cxxopts::value<std::string>()->default_value(""))(
      "command", "command that is passed to the worker",
      cxxopts::value<std::string>()->default_value(""))(
      "urgent", "place the job before jobs that are not urgent");
  options.add_options("List")(
      "limit", "maximum number of rows; 0: no limit",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "rounds", "number of rounds of entry top; 0: until interrupted",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "interval-ms",
      "interval between the rounds of entry top, in milliseconds",
      cxxopts::value<std::int64_t>()->default_value("2000"));
}

}  // namespace basilspur::cli
