#include "servers/sessions/connection_setup.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

namespace {

bool has_foreign_value(const ConnectionContent& content, const SessionValues& values) {
  return std::any_of(content.values.begin(), content.values.end(),
                     [&values](const auto& value) { return !values.contains(value.first); });
}

bool holds(const ConnectionContent& content, const std::string& name, const std::string& value) {
  const auto found = content.values.find(name);
  return found != content.values.end() && found->second == value;
}

}  // namespace

std::size_t setup_cost(const ConnectionContent& content, const SessionValues& values) {
  if (has_foreign_value(content, values)) {
    return 1 + values.size();
  }
  return static_cast<std::size_t>(std::count_if(values.begin(), values.end(), [&content](const auto& value) {
    return !holds(content, value.first, value.second);
  }));
}

std::vector<MemberCommand> plan_setup(ConnectionContent& content, const SessionValues& values,
                                      const std::optional<PreparedStatement>& needed) {
  std::vector<MemberCommand> commands;
  if (has_foreign_value(content, values) || content.prepared.size() >= kMaxPreparedOnConnection) {
    content = {};
    commands.push_back(make_internal_command(MemberCommandKind::kReset));
  }
  for (const auto& [name, value] : values) {
    if (!holds(content, name, value)) {
      MemberCommand command = make_internal_command(MemberCommandKind::kSetValue);
      command.name = name;
      command.argument = value;
      commands.push_back(std::move(command));
    }
  }
  content.values = values;
  if (needed.has_value() && content.prepared.insert(needed->shared_name()).second) {
    MemberCommand command = make_internal_command(MemberCommandKind::kPrepare);
    command.name = needed->shared_name();
    command.argument = needed->shape;
    command.access = needed->access;
    commands.push_back(std::move(command));
  }
  return commands;
}

}  // namespace teaselrudder
