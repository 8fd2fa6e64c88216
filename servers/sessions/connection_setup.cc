#include "servers/sessions/connection_setup.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

namespace {

bool has_extra_variable(const SessionValues& current, const SessionValues& values) {
  return std::any_of(current.begin(), current.end(),
                     [&values](const auto& value) { return !values.contains(value.first); });
}

bool holds(const SessionValues& current, const std::string& name, const std::string& value) {
  const auto found = current.find(name);
  return found != current.end() && found->second == value;
}

bool must_reset(const ConnectionSessionState& session_state, const SessionValues& values) {
  return !session_state.values.has_value() || has_extra_variable(*session_state.values, values) ||
         session_state.prepared.size() >= kMaxPreparedOnConnection;
}

}  // namespace

std::size_t setup_cost(const ConnectionSessionState& session_state, const SessionValues& values) {
  if (must_reset(session_state, values)) {
    return 1 + values.size();
  }
  return static_cast<std::size_t>(std::count_if(values.begin(), values.end(), [&session_state](const auto& value) {
    return !holds(*session_state.values, value.first, value.second);
  }));
}

std::vector<MemberCommand> plan_values(ConnectionSessionState& session_state, const SessionValues& values) {
  std::vector<MemberCommand> commands;
  if (must_reset(session_state, values)) {
    session_state.values.emplace();
    session_state.prepared.clear();
    commands.push_back(make_internal_command(MemberCommandKind::kReset));
  }
  for (const auto& [name, value] : values) {
    if (!holds(*session_state.values, name, value)) {
      MemberCommand command = make_internal_command(MemberCommandKind::kSetValue);
      command.name = name;
      command.argument = value;
      commands.push_back(std::move(command));
    }
  }
  if (!commands.empty()) {
    session_state.values = values;
  }
  return commands;
}

std::optional<MemberCommand> plan_prepare(ConnectionSessionState& session_state, const PreparedStatement& statement) {
  const std::string name = "s" + std::to_string(session_state.next_statement);
  if (!session_state.prepared.try_emplace(statement, name).second) {
    return std::nullopt;
  }
  ++session_state.next_statement;
  MemberCommand command = make_internal_command(MemberCommandKind::kPrepare);
  command.name = name;
  command.argument = statement.shape;
  command.access = statement.access;
  return command;
}

}  // namespace teaselrudder
