#include "catalog_commands.h"

#include <string>
#include <vector>

#include "command_support.h"

namespace basilspur::cli {

int PutTeam(Invocation& invocation) {
  v1::PutTeamRequest request;
  *request.mutable_actor() = MakeActor(invocation);
  request.mutable_team()->set_name(invocation.arguments[0]);
  SetResources(invocation, request.mutable_team()->mutable_quota());
  return SubmitVersionedChange(invocation, request, &Client::Stub::ListTeams,
                               &v1::TeamList::teams, &Client::Stub::PutTeam);
}

int ListTeams(Invocation& invocation) {
  return ShowList(
      invocation, &Client::Stub::ListTeams,
      {"NAME", "QUOTA", "USED", "VERSION"},
      [](const v1::TeamList& list, std::vector<Row>& rows) {
        for (const auto& team : list.teams()) {
          rows.push_back({team.name(), FormatResources(team.quota()),
                          FormatResources(team.used()),
                          std::to_string(team.version())});
        }
      });
}

int PutConfig(Invocation& invocation) {
  v1::PutConfigRequest request;
  *request.mutable_actor() = MakeActor(invocation);
  request.mutable_value()->set_key(invocation.arguments[0]);
  request.mutable_value()->set_value(invocation.arguments[1]);
  return SubmitVersionedChange(invocation, request, &Client::Stub::ListConfig,
                               &v1::ConfigList::values,
                               &Client::Stub::PutConfig);
}

int ListConfig(Invocation& invocation) {
  return ShowList(invocation, &Client::Stub::ListConfig,
                  {"KEY", "VALUE", "VERSION"},
                  [](const v1::ConfigList& list, std::vector<Row>& rows) {
                    for (const auto& value : list.values()) {
                      rows.push_back({value.key(), value.value(),
                                      std::to_string(value.version())});
                    }
                  });
}

}  // namespace basilspur::cli
