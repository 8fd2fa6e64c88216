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

/// Configuration of a member of a database group.
struct MemberConfiguration {
  MemberId id;
  Endpoint endpoint;
  FailureDomainId failure_domain;
  /// Number of statements that the member runs concurrently.
  std::uint32_t slots = 3;
  /// Total number of connections that the member accepts.
  std::uint32_t connections = 20;
  /// True if the member is being drained and gets no new work.
  bool leaving = false;

  friend bool operator==(const MemberConfiguration&, const MemberConfiguration&) = default;
};

/// Configuration of a database group.
struct GroupConfiguration {
  GroupId id;
  std::vector<MemberConfiguration> members;

  /// Returns the number of members that form a majority.
  std::size_t majority() const { return members.size() / 2 + 1; }

  /// Returns the member with the id `member`, or null.
  const MemberConfiguration* find_member(const MemberId& member) const;

  friend bool operator==(const GroupConfiguration&, const GroupConfiguration&) = default;
};

/// Configuration of a service: its group and the defaults for its requests.
struct ServiceConfiguration {
  ServiceName name;
  GroupId group;
  Freshness freshness = Freshness::kOwnWrites;
  Duration max_age = std::chrono::seconds(1);
  Urgency urgency = Urgency::kNormal;
  bool idempotent = false;
  bool read_only = false;
  Duration deadline = std::chrono::seconds(10);
  /// Number of the service's requests that one host accepts at the same time.
  std::uint32_t max_in_flight = 10000;

  friend bool operator==(const ServiceConfiguration&, const ServiceConfiguration&) = default;
};

/// The complete configuration of the system, stored as one versioned document.
struct Configuration {
  ConfigurationVersion version;
  /// Unique id of the change that produced this version.
  std::string change_id;
  /// Ids of the most recent changes, at most kMaxRecentChanges, the newest (`change_id`) last.
  std::vector<std::string> recent_changes;
  std::map<GroupId, GroupConfiguration> groups;
  std::map<ServiceName, ServiceConfiguration> services;
  std::set<HostId> draining_hosts;
  std::set<FailureDomainId> draining_failure_domains;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// Limits on the values in a configuration.
inline constexpr std::size_t kMaxMembersPerGroup = 9;
inline constexpr std::size_t kMaxNameLength = 64;
inline constexpr std::uint32_t kMaxSlots = 1024;
inline constexpr std::uint32_t kMaxConnections = 10000;
/// Number of change ids that the document keeps. If the answer to a change was lost, its outcome can be found by its id
/// until this many newer changes have been accepted.
inline constexpr std::size_t kMaxRecentChanges = 64;
inline constexpr Duration kMaxDeadline = std::chrono::minutes(10);
inline constexpr Duration kMaxMaxAge = std::chrono::hours(24);

/// Validates `configuration`. Returns one line per violated rule; empty if it is valid.
std::vector<std::string> find_configuration_errors(const Configuration& configuration);

}  // namespace teaselrudder
