#include "servers/operator/configuration_edit.h"

#include <algorithm>
#include <map>
#include <set>

#include "core/config/configuration_json.h"
#include "core/overloaded.h"

namespace teaselrudder {

namespace {

using ErrorText = std::optional<std::string>;

ErrorText apply(const SetGroup& set, Configuration& configuration) {
  GroupConfiguration& group = configuration.groups[set.group];
  group.id = set.group;
  std::vector<MemberConfiguration> members;
  for (const MemberClause& clause : set.members) {
    const MemberConfiguration* const present = group.find_member(clause.id);
    if (present == nullptr && (!clause.endpoint.has_value() || !clause.failure_domain.has_value())) {
      return "the new member " + clause.id.value() + " needs AT and IN";
    }
    MemberConfiguration member = present == nullptr ? MemberConfiguration() : *present;
    member.id = clause.id;
    member.endpoint = clause.endpoint.value_or(member.endpoint);
    member.failure_domain = clause.failure_domain.value_or(member.failure_domain);
    member.slots = clause.slots.value_or(member.slots);
    member.connections = clause.connections.value_or(member.connections);
    members.push_back(std::move(member));
  }
  group.members = std::move(members);
  return std::nullopt;
}

ErrorText apply(const SetService& set, Configuration& configuration) {
  const bool is_new = !configuration.services.contains(set.name);
  if (is_new && !set.group.has_value()) {
    return "the new service " + set.name.value() + " needs GROUP";
  }
  ServiceConfiguration& service = configuration.services[set.name];
  service.name = set.name;
  service.group = set.group.value_or(service.group);
  service.freshness = set.freshness.value_or(service.freshness);
  service.max_age = set.max_age.value_or(service.max_age);
  service.urgency = set.urgency.value_or(service.urgency);
  service.idempotent = set.idempotent.value_or(service.idempotent);
  service.read_only = set.read_only.value_or(service.read_only);
  service.deadline = set.deadline.value_or(service.deadline);
  service.max_in_flight = set.max_in_flight.value_or(service.max_in_flight);
  return std::nullopt;
}

ErrorText apply(const DropService& drop, Configuration& configuration) {
  if (configuration.services.erase(drop.name) == 0) {
    return "there is no service " + drop.name.value();
  }
  return std::nullopt;
}

ErrorText apply(const DropGroup& drop, Configuration& configuration) {
  if (configuration.groups.erase(drop.group) == 0) {
    return "there is no group " + drop.group.value();
  }
  return std::nullopt;
}

// Adds `value` to `draining` or removes it. Unknown hosts and failure domains are accepted, since they may be down.
template <typename Value>
void set_draining(std::set<Value>& draining, const Value& value, bool drain) {
  if (drain) {
    draining.insert(value);
  } else {
    draining.erase(value);
  }
}

ErrorText apply(const DrainHost& drain, Configuration& configuration) {
  set_draining(configuration.draining_hosts, drain.host, drain.drain);
  return std::nullopt;
}

ErrorText apply(const DrainDomain& drain, Configuration& configuration) {
  set_draining(configuration.draining_failure_domains, drain.failure_domain, drain.drain);
  return std::nullopt;
}

ErrorText apply(const DrainUpstream& drain, Configuration& configuration) {
  const auto group = configuration.groups.find(drain.group);
  if (group == configuration.groups.end()) {
    return "there is no group " + drain.group.value();
  }
  for (MemberConfiguration& member : group->second.members) {
    if (member.id == drain.member) {
      member.leaving = drain.drain;
      return std::nullopt;
    }
  }
  return "group " + drain.group.value() + " has no member " + drain.member.value();
}

// Returns the number of members of `left` that are missing in `right`. A member with a different address counts as
// missing, since it may hold different data.
std::size_t count_missing(const GroupConfiguration& left, const GroupConfiguration& right) {
  return static_cast<std::size_t>(
      std::count_if(left.members.begin(), left.members.end(), [&right](const MemberConfiguration& member) {
        const MemberConfiguration* const other = right.find_member(member.id);
        return other == nullptr || other->endpoint != member.endpoint;
      }));
}

// While some hosts still use the previous version, each majority of the old members must overlap with each majority of
// the new ones; otherwise two primaries could have their writes confirmed. This holds if at most one member is added or
// removed.
ErrorText check_member_changes(const Configuration& base, const Configuration& edited) {
  for (const auto& [id, group] : base.groups) {
    const auto found = edited.groups.find(id);
    if (found == edited.groups.end()) {
      continue;
    }
    const std::size_t changed = count_missing(group, found->second) + count_missing(found->second, group);
    if (changed > 1) {
      return "group " + id.value() + ": a change must not add or remove more than one member";
    }
  }
  return std::nullopt;
}

ErrorText find_error(const Configuration& base, const Configuration& edited) {
  const std::vector<std::string> errors = find_configuration_errors(edited);
  return errors.empty() ? check_member_changes(base, edited) : ErrorText(errors.front());
}

// Field values by item and field name.
using Fields = std::map<std::pair<std::string, std::string>, std::string>;

std::string yes_no(bool value) { return value ? "yes" : "no"; }

void collect_member_fields(const GroupId& group, const MemberConfiguration& member, Fields& fields) {
  const std::string item = "group " + group.value() + "/member " + member.id.value();
  fields[{item, "address"}] = member.endpoint.ip + ':' + std::to_string(member.endpoint.port);
  fields[{item, "failure_domain"}] = member.failure_domain.value();
  fields[{item, "slots"}] = std::to_string(member.slots);
  fields[{item, "connections"}] = std::to_string(member.connections);
  fields[{item, "leaving"}] = yes_no(member.leaving);
}

void collect_service_fields(const ServiceConfiguration& service, Fields& fields) {
  const std::string item = "service " + service.name.value();
  fields[{item, "group"}] = service.group.value();
  fields[{item, "freshness"}] = to_string(service.freshness);
  fields[{item, "max_age_ms"}] = std::to_string(to_milliseconds(service.max_age));
  fields[{item, "urgency"}] = to_string(service.urgency);
  fields[{item, "idempotent"}] = yes_no(service.idempotent);
  fields[{item, "read_only"}] = yes_no(service.read_only);
  fields[{item, "deadline_ms"}] = std::to_string(to_milliseconds(service.deadline));
  fields[{item, "max_in_flight"}] = std::to_string(service.max_in_flight);
}

Fields collect_fields(const Configuration& configuration) {
  Fields fields;
  for (const auto& [id, group] : configuration.groups) {
    for (const MemberConfiguration& member : group.members) {
      collect_member_fields(id, member, fields);
    }
  }
  for (const auto& [name, service] : configuration.services) {
    collect_service_fields(service, fields);
  }
  for (const HostId& host : configuration.draining_hosts) {
    fields[{"host " + host.value(), "draining"}] = yes_no(true);
  }
  for (const FailureDomainId& domain : configuration.draining_failure_domains) {
    fields[{"failure_domain " + domain.value(), "draining"}] = yes_no(true);
  }
  return fields;
}

}  // namespace

tl::expected<Configuration, CommandError> edit_configuration(const Configuration& base,
                                                             const std::vector<LocatedChange>& changes) {
  Configuration edited = base;
  for (const LocatedChange& change : changes) {
    const ErrorText error =
        std::visit([&edited](const auto& statement) { return apply(statement, edited); }, change.statement);
    if (error.has_value()) {
      return tl::unexpected(CommandError{change.position, "", *error});
    }
  }
  // Rules that span several items are checked after all statements, so that statements can be in any order.
  if (const ErrorText error = find_error(base, edited)) {
    const CommandPosition position = changes.empty() ? CommandPosition() : changes.front().position;
    return tl::unexpected(CommandError{position, "", *error});
  }
  return edited;
}

std::vector<ConfigurationDifference> find_differences(const Configuration& from, const Configuration& to) {
  const Fields before = collect_fields(from);
  const Fields after = collect_fields(to);
  Fields keys = before;
  keys.insert(after.begin(), after.end());
  std::vector<ConfigurationDifference> differences;
  for (const auto& [key, any_value] : keys) {
    const auto old_value = before.find(key);
    const auto new_value = after.find(key);
    ConfigurationDifference difference{key.first, key.second, std::nullopt, std::nullopt};
    if (old_value != before.end()) {
      difference.from = old_value->second;
    }
    if (new_value != after.end()) {
      difference.to = new_value->second;
    }
    if (difference.from != difference.to) {
      differences.push_back(std::move(difference));
    }
  }
  return differences;
}

}  // namespace teaselrudder
