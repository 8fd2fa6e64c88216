#include "core/config/configuration_json.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace teaselrudder {

namespace {

using Json = nlohmann::json;

Json member_to_json(const MemberConfiguration& member) {
  return {{"id", member.id.value()},      {"ip", member.endpoint.ip},
          {"port", member.endpoint.port}, {"failure_domain", member.failure_domain.value()},
          {"slots", member.slots},        {"connections", member.connections},
          {"leaving", member.leaving}};
}

Json service_to_json(const ServiceConfiguration& service) {
  return {{"name", service.name.value()},
          {"group", service.group.value()},
          {"freshness", to_string(service.freshness)},
          {"max_age_ms", to_milliseconds(service.max_age)},
          {"urgency", to_string(service.urgency)},
          {"idempotent", service.idempotent},
          {"read_only", service.read_only},
          {"deadline_ms", to_milliseconds(service.deadline)},
          {"max_in_flight", service.max_in_flight}};
}

// Returns an unsigned field. Checks the range because the JSON library silently wraps negative and oversized numbers.
template <typename Number>
Number read_unsigned(const Json& object, const char* field) {
  const Json& value = object.at(field);
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
    throw std::out_of_range(std::string("field '") + field + "' is not an unsigned number in range");
  }
  return value.get<Number>();
}

Duration read_milliseconds(const Json& object, const char* field) {
  return std::chrono::milliseconds(read_unsigned<std::uint32_t>(object, field));
}

// Returns the parsed enumerator; throws if the name in `field` was unknown.
template <typename Value>
Value require_name(std::optional<Value> value, const char* field) {
  if (!value.has_value()) {
    throw std::out_of_range(std::string("field '") + field + "' has an unknown value");
  }
  return *value;
}

MemberConfiguration member_from_json(const Json& json) {
  MemberConfiguration member;
  member.id = MemberId(json.at("id").get<std::string>());
  member.endpoint = {json.at("ip").get<std::string>(), read_unsigned<std::uint16_t>(json, "port")};
  member.failure_domain = FailureDomainId(json.at("failure_domain").get<std::string>());
  member.slots = read_unsigned<std::uint32_t>(json, "slots");
  member.connections = read_unsigned<std::uint32_t>(json, "connections");
  member.leaving = json.at("leaving").get<bool>();
  return member;
}

GroupConfiguration group_from_json(const Json& json) {
  GroupConfiguration group;
  group.id = GroupId(json.at("id").get<std::string>());
  for (const Json& member : json.at("members")) {
    group.members.push_back(member_from_json(member));
  }
  return group;
}

ServiceConfiguration service_from_json(const Json& json) {
  ServiceConfiguration service;
  service.name = ServiceName(json.at("name").get<std::string>());
  service.group = GroupId(json.at("group").get<std::string>());
  service.freshness = require_name(freshness_from_string(json.at("freshness").get<std::string>()), "freshness");
  service.max_age = read_milliseconds(json, "max_age_ms");
  service.urgency = require_name(urgency_from_string(json.at("urgency").get<std::string>()), "urgency");
  service.idempotent = json.at("idempotent").get<bool>();
  service.read_only = json.at("read_only").get<bool>();
  service.deadline = read_milliseconds(json, "deadline_ms");
  service.max_in_flight = read_unsigned<std::uint32_t>(json, "max_in_flight");
  return service;
}

Configuration parse_configuration(std::string_view document) {
  const Json json = Json::parse(document);
  Configuration configuration;
  configuration.version = ConfigurationVersion(read_unsigned<std::uint64_t>(json, "version"));
  configuration.change_id = json.at("change_id").get<std::string>();
  // Documents written by earlier releases lack this list.
  configuration.recent_changes = json.value("recent_changes", std::vector<std::string>());
  if (configuration.recent_changes.size() > kMaxRecentChanges) {
    throw std::out_of_range("field 'recent_changes' has more than " + std::to_string(kMaxRecentChanges) + " entries");
  }
  for (const Json& entry : json.at("groups")) {
    GroupConfiguration group = group_from_json(entry);
    const GroupId id = group.id;
    if (!configuration.groups.emplace(id, std::move(group)).second) {
      throw std::out_of_range("group '" + id.value() + "' appears twice");
    }
  }
  for (const Json& entry : json.at("services")) {
    ServiceConfiguration service = service_from_json(entry);
    const ServiceName name = service.name;
    if (!configuration.services.emplace(name, std::move(service)).second) {
      throw std::out_of_range("service '" + name.value() + "' appears twice");
    }
  }
  for (const Json& host : json.at("draining_hosts")) {
    configuration.draining_hosts.insert(HostId(host.get<std::string>()));
  }
  for (const Json& domain : json.at("draining_failure_domains")) {
    configuration.draining_failure_domains.insert(FailureDomainId(domain.get<std::string>()));
  }
  return configuration;
}

}  // namespace

std::string configuration_to_json(const Configuration& configuration) {
  Json json = {{"version", configuration.version.value()},
               {"change_id", configuration.change_id},
               {"recent_changes", configuration.recent_changes},
               {"groups", Json::array()},
               {"services", Json::array()},
               {"draining_hosts", Json::array()},
               {"draining_failure_domains", Json::array()}};
  for (const auto& [id, group] : configuration.groups) {
    Json members = Json::array();
    for (const MemberConfiguration& member : group.members) {
      members.push_back(member_to_json(member));
    }
    json["groups"].push_back({{"id", id.value()}, {"members", std::move(members)}});
  }
  for (const auto& [name, service] : configuration.services) {
    json["services"].push_back(service_to_json(service));
  }
  for (const HostId& host : configuration.draining_hosts) {
    json["draining_hosts"].push_back(host.value());
  }
  for (const FailureDomainId& domain : configuration.draining_failure_domains) {
    json["draining_failure_domains"].push_back(domain.value());
  }
  return json.dump();
}

tl::expected<Configuration, std::string> configuration_from_json(std::string_view document) {
  if (document.size() > kMaxConfigurationBytes) {
    return tl::unexpected(std::string("the document exceeds 1000000 bytes"));
  }
  Configuration configuration;
  try {
    configuration = parse_configuration(document);
  } catch (const std::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
  const std::vector<std::string> errors = find_configuration_errors(configuration);
  if (!errors.empty()) {
    return tl::unexpected(errors.front());
  }
  return configuration;
}

std::string_view to_string(Freshness freshness) {
  switch (freshness) {
    case Freshness::kFresh:
      return "fresh";
    case Freshness::kOwnWrites:
      return "own_writes";
    case Freshness::kMaxAge:
      return "max_age";
  }
  return "fresh";
}

std::string_view to_string(Urgency urgency) {
  switch (urgency) {
    case Urgency::kUrgent:
      return "urgent";
    case Urgency::kNormal:
      return "normal";
    case Urgency::kBackground:
      return "background";
  }
  return "normal";
}

std::optional<Freshness> freshness_from_string(std::string_view name) {
  for (const Freshness freshness : {Freshness::kFresh, Freshness::kOwnWrites, Freshness::kMaxAge}) {
    if (to_string(freshness) == name) {
      return freshness;
    }
  }
  return std::nullopt;
}

std::optional<Urgency> urgency_from_string(std::string_view name) {
  for (const Urgency urgency : {Urgency::kUrgent, Urgency::kNormal, Urgency::kBackground}) {
    if (to_string(urgency) == name) {
      return urgency;
    }
  }
  return std::nullopt;
}

}  // namespace teaselrudder
