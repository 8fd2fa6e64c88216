#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/request.h"
#include "core/time.h"

namespace teaselrudder {

/// A place in the text of a command; both count from 1.
struct CommandPosition {
  std::size_t line = 1;
  std::size_t column = 1;

  friend bool operator==(const CommandPosition&, const CommandPosition&) = default;
};

/// A member as SET GROUP states it; what is absent keeps its value or takes the default.
struct MemberClause {
  MemberId id;
  std::optional<Endpoint> endpoint;
  std::optional<FailureDomainId> failure_domain;
  std::optional<std::uint32_t> slots;
  std::optional<std::uint32_t> connections;

  friend bool operator==(const MemberClause&, const MemberClause&) = default;
};

/// SET GROUP: states all members of a group.
struct SetGroup {
  GroupId group;
  std::vector<MemberClause> members;

  friend bool operator==(const SetGroup&, const SetGroup&) = default;
};

/// SET SERVICE: adds a service or changes what is stated of it.
struct SetService {
  ServiceName name;
  std::optional<GroupId> group;
  std::optional<Freshness> freshness;
  std::optional<Duration> max_age;
  std::optional<Urgency> urgency;
  std::optional<bool> idempotent;
  std::optional<bool> read_only;
  std::optional<Duration> deadline;
  std::optional<std::uint32_t> max_in_flight;

  friend bool operator==(const SetService&, const SetService&) = default;
};

/// DROP SERVICE.
struct DropService {
  ServiceName name;

  friend bool operator==(const DropService&, const DropService&) = default;
};

/// DROP GROUP.
struct DropGroup {
  GroupId group;

  friend bool operator==(const DropGroup&, const DropGroup&) = default;
};

/// DRAIN HOST and UNDRAIN HOST.
struct DrainHost {
  HostId host;
  bool drain = true;

  friend bool operator==(const DrainHost&, const DrainHost&) = default;
};

/// DRAIN UPSTREAM and UNDRAIN UPSTREAM.
struct DrainUpstream {
  GroupId group;
  MemberId member;
  bool drain = true;

  friend bool operator==(const DrainUpstream&, const DrainUpstream&) = default;
};

/// DRAIN DOMAIN and UNDRAIN DOMAIN.
struct DrainDomain {
  FailureDomainId failure_domain;
  bool drain = true;

  friend bool operator==(const DrainDomain&, const DrainDomain&) = default;
};

/// One statement that changes the configuration.
using ChangeStatement =
    std::variant<SetGroup, SetService, DropService, DropGroup, DrainHost, DrainUpstream, DrainDomain>;

/// A change with the place at which it is written.
struct LocatedChange {
  ChangeStatement statement;
  CommandPosition position;
};

/// What SHOW can show, in the order of show_target_names().
enum class ShowTarget {
  kHosts,
  kGroups,
  kUpstreams,
  kServices,
  kQueues,
  kRefusals,
  kRetries,
  kConfiguration,
  kVersions,
  kDecisions,
};

/// WHERE: keeps the rows whose column has the value.
struct RowFilter {
  std::string column;
  std::string value;
  CommandPosition position;
};

/// SHOW.
struct ShowQuery {
  ShowTarget target = ShowTarget::kHosts;
  /// OF: keeps the rows whose first column has the value.
  std::optional<std::string> of;
  std::optional<RowFilter> where;
};

/// One or more changes that are applied together.
struct ChangeCommand {
  /// BASED ON VERSION: the change is refused unless this version is in force.
  std::optional<ConfigurationVersion> based_on;
  std::vector<LocatedChange> changes;
};

/// A command of an operator: one query, or changes.
using Command = std::variant<ShowQuery, ChangeCommand>;

/// Why a command was not understood.
struct CommandError {
  CommandPosition position;
  /// What the language allows at this place.
  std::string expected;
  std::string detail;
};

}  // namespace teaselrudder
