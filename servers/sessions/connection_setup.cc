#include "servers/sessions/connection_setup.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

namespace {

bool has_extra_variable(const ConnectionSessionState& session_state, const SessionValues& values) {
  return std::any_of(session_state.values.begin(), session_state.values.end(),
                     [&values](const auto& value) { return !values.contains(value.first); });
}

bool holds(const ConnectionSessionState& session_state, const std::string& name, const std::string& value) {
  const auto found = session_state.values.find(name);
  return found != session_state.values.end() && found->second == value;
}

}  // namespace

std::size_t setup_cost(const ConnectionSessionState& session_state, const SessionValues& values) {
  if (has_extra_variable(session_state, values)) {
    return 1 + values.size();
  }
  return static_cast<std::size_t>(std::count_if(values.begin(), values.end(), [&session_state](const auto& value) {
    return !holds(session_state, value.first, value.second);
  }));
}

std::vector<MemberCommand> plan_setup(ConnectionSessionState& session_state, const SessionValues& values,
                                      const std::optional<PreparedStatement>& needed) {
  std::vector<MemberCommand> commands;
  if (has_extra_variable(session_state, values) || session_state.prepared.size() >= kMaxPreparedOnConnection) {
    session_state = {};
    commands.push_back(make_internal_command(MemberCommandKind::kReset));
  }
  for (const auto& [name, value] : values) {
    if (!holds(session_state, name, value)) {
      MemberCommand command = make_internal_command(MemberCommandKind::kSetValue);
      command.name = name;
      command.argument = value;
      commands.push_back(std::move(command));
    }
  }
  session_state.values = values;
  if (needed.has_value() && session_state.prepared.insert(needed->shared_name()).second) {
    MemberCommand command = make_internal_command(MemberCommandKind::kPrepare);
    command.name = needed->shared_name();
    command.argument = needed->shape;
    command.access = needed->access;
    commands.push_back(std::move(command));
  }
  return commands;
}

}  // namespace teaselrudder
