#include "core/config/configuration.h"

#include <algorithm>
#include <cctype>

namespace teaselrudder {

namespace {

using Errors = std::vector<std::string>;

bool is_name_character(char character) {
  return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '_' || character == '-' ||
         character == '.';
}

void check_name(const std::string& name, const std::string& what, Errors& errors) {
  if (name.empty() || name.size() > kMaxNameLength) {
    errors.push_back(what + " '" + name + "': a name must have 1 to " + std::to_string(kMaxNameLength) + " characters");
    return;
  }
  if (!std::all_of(name.begin(), name.end(), is_name_character)) {
    errors.push_back(what + " '" + name + "': a name must consist of letters, digits, '_', '-' and '.'");
  }
}

void check_range(std::uint32_t value, std::uint32_t highest, const std::string& what, Errors& errors) {
  if (value == 0 || value > highest) {
    errors.push_back(what + ": " + std::to_string(value) + " is not between 1 and " + std::to_string(highest));
  }
}

void check_member(const MemberConfiguration& member, const std::string& group, Errors& errors) {
  const std::string what = "member " + group + "/" + member.id.value();
  check_name(member.id.value(), "member", errors);
  check_name(member.failure_domain.value(), what + ": failure domain", errors);
  check_range(member.slots, kMaxSlots, what + ": slots", errors);
  check_range(member.connections, kMaxConnections, what + ": connections", errors);
  if (member.endpoint.ip.empty() || member.endpoint.port == 0) {
    errors.push_back(what + ": the address must consist of a numeric IP address and a port");
  }
  if (member.connections < member.slots) {
    errors.push_back(what + ": the number of connections must not be below the number of slots");
  }
}

void check_group(const GroupId& key, const GroupConfiguration& group, Errors& errors) {
  check_name(group.id.value(), "group", errors);
  if (key != group.id) {
    errors.push_back("group " + key.value() + ": the key differs from the name in the entry");
  }
  if (group.members.empty() || group.members.size() > kMaxMembersPerGroup) {
    errors.push_back("group " + group.id.value() + ": a group must have 1 to " + std::to_string(kMaxMembersPerGroup) +
                     " members");
  }
  std::set<MemberId> seen;
  std::set<Endpoint> endpoints;
  for (const MemberConfiguration& member : group.members) {
    check_member(member, group.id.value(), errors);
    if (!seen.insert(member.id).second) {
      errors.push_back("group " + group.id.value() + ": member " + member.id.value() + " appears twice");
    }
    if (!endpoints.insert(member.endpoint).second) {
      errors.push_back("group " + group.id.value() + ": two members have the same address");
    }
  }
}

void check_service(const ServiceName& key, const ServiceConfiguration& service, const Configuration& configuration,
                   Errors& errors) {
  const std::string what = "service " + service.name.value();
  check_name(service.name.value(), "service", errors);
  if (key != service.name) {
    errors.push_back("service " + key.value() + ": the key differs from the name in the entry");
  }
  if (!configuration.groups.contains(service.group)) {
    errors.push_back(what + ": unknown group '" + service.group.value() + "'");
  }
  if (service.deadline <= Duration::zero() || service.deadline > kMaxDeadline) {
    errors.push_back(what + ": the deadline must be above 0 and at most 10 minutes");
  }
  if (service.max_age < Duration::zero() || service.max_age > kMaxMaxAge) {
    errors.push_back(what + ": max_age must be between 0 and 24 hours");
  }
  if (service.max_in_flight == 0) {
    errors.push_back(what + ": max_in_flight must be at least 1");
  }
}

}  // namespace

const MemberConfiguration* GroupConfiguration::find_member(const MemberId& member) const {
  const auto found = std::find_if(members.begin(), members.end(),
                                  [&member](const MemberConfiguration& candidate) { return candidate.id == member; });
  return found == members.end() ? nullptr : &*found;
}

std::vector<std::string> find_configuration_errors(const Configuration& configuration) {
  Errors errors;
  for (const auto& [key, group] : configuration.groups) {
    check_group(key, group, errors);
  }
  for (const auto& [key, service] : configuration.services) {
    check_service(key, service, configuration, errors);
  }
  return errors;
}

}  // namespace teaselrudder
