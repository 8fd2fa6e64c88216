#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/request.h"
#include "core/time.h"

namespace teaselrudder {

/// A member of a database group as operators describe it.
struct MemberConfiguration {
  MemberId id;
  Endpoint endpoint;
  FailureDomainId failure_domain;
  /// Statements that the member runs at once.
  std::uint32_t slots = 3;
  /// Connections that the member accepts in all.
  std::uint32_t connections = 20;
  /// True if the member gets no new work.
  bool leaving = false;

  friend bool operator==(const MemberConfiguration&, const MemberConfiguration&) = default;
};

/// A database group.
struct GroupConfiguration {
  GroupId id;
  std::vector<MemberConfiguration> members;

  /// Returns the number of members that form a majority.
  std::size_t majority() const { return members.size() / 2 + 1; }

  /// Returns the member `member`, or null.
  const MemberConfiguration* find_member(const MemberId& member) const;

  friend bool operator==(const GroupConfiguration&, const GroupConfiguration&) = default;
};

/// A service: a group with the defaults of its requests.
struct ServiceConfiguration {
  ServiceName name;
  GroupId group;
  Freshness freshness = Freshness::kOwnWrites;
  Duration max_age = std::chrono::seconds(1);
  Urgency urgency = Urgency::kNormal;
  bool idempotent = false;
  bool read_only = false;
  Duration deadline = std::chrono::seconds(10);
  /// Requests of the service that one host holds at once.
  std::uint32_t max_in_flight = 10000;

  friend bool operator==(const ServiceConfiguration&, const ServiceConfiguration&) = default;
};

/// All that operators declare. One document with one version.
struct Configuration {
  ConfigurationVersion version;
  /// Unique id of the change that produced this version.
  std::string change_id;
  /// Ids of the last changes, the newest last, at most kMaxRecentChanges. The last one is `change_id`.
  std::vector<std::string> recent_changes;
  std::map<GroupId, GroupConfiguration> groups;
  std::map<ServiceName, ServiceConfiguration> services;
  std::set<HostId> draining_hosts;
  std::set<FailureDomainId> draining_failure_domains;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// Bounds on what a configuration may state.
inline constexpr std::size_t kMaxMembersPerGroup = 9;
inline constexpr std::size_t kMaxNameLength = 64;
inline constexpr std::uint32_t kMaxSlots = 1024;
inline constexpr std::uint32_t kMaxConnections = 10000;
/// An operator whose answer was lost finds the change by its id as long as no more changes than this came after it.
inline constexpr std::size_t kMaxRecentChanges = 64;
inline constexpr Duration kMaxDeadline = std::chrono::minutes(10);
inline constexpr Duration kMaxMaxAge = std::chrono::hours(24);

/// Checks the rules of a configuration and returns one line for each breach; empty if it is valid.
std::vector<std::string> find_configuration_errors(const Configuration& configuration);

}  // namespace teaselrudder
