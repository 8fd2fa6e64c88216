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

/// Position in the text of a command; line and column start at 1.
struct CommandPosition {
  std::size_t line = 1;
  std::size_t column = 1;

  friend bool operator==(const CommandPosition&, const CommandPosition&) = default;
};

/// A MEMBER clause of SET GROUP. Absent options keep the value of an existing member, or take the default for a new
/// one.
struct MemberClause {
  MemberId id;
  std::optional<Endpoint> endpoint;
  std::optional<FailureDomainId> failure_domain;
  std::optional<std::uint32_t> slots;
  std::optional<std::uint32_t> connections;

  friend bool operator==(const MemberClause&, const MemberClause&) = default;
};

/// SET GROUP: creates a group or replaces its list of members.
struct SetGroup {
  GroupId group;
  std::vector<MemberClause> members;

  friend bool operator==(const SetGroup&, const SetGroup&) = default;
};

/// SET SERVICE: creates a service or changes the given options.
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

/// A statement that changes the configuration.
using ChangeStatement =
    std::variant<SetGroup, SetService, DropService, DropGroup, DrainHost, DrainUpstream, DrainDomain>;

/// A change with its position in the command.
struct LocatedChange {
  ChangeStatement statement;
  CommandPosition position;
};

/// Tables that SHOW can query, in the order of show_target_names().
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

/// WHERE: selects the rows whose `column` has the value `value`.
struct RowFilter {
  std::string column;
  std::string value;
  CommandPosition position;
};

/// SHOW: queries a table.
struct ShowQuery {
  ShowTarget target = ShowTarget::kHosts;
  /// OF: selects the rows whose first column has this value.
  std::optional<std::string> of;
  std::optional<RowFilter> where;
};

/// One or more changes that are applied atomically.
struct ChangeCommand {
  /// BASED ON VERSION: the command is refused unless this is the current version.
  std::optional<ConfigurationVersion> based_on;
  std::vector<LocatedChange> changes;
};

/// An operator's command: one query, or one or more changes.
using Command = std::variant<ShowQuery, ChangeCommand>;

/// Why a command could not be parsed or applied.
struct CommandError {
  CommandPosition position;
  /// What the grammar allows at `position`; empty if the command parses but violates a rule.
  std::string expected;
  std::string detail;
};

}  // namespace teaselrudder
