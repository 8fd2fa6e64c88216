#pragma once

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "core/config/configuration.h"
#include "servers/host/group_runtime.h"
#include "servers/membership/host_table.h"

namespace teaselrudder {

/// The groups of the configuration, the hosts that own them, and the runtimes of the groups that this host uses.
///
/// In each failure domain one working host owns a group, chosen by rendezvous hashing. This host has a runtime of each
/// group that it owns, and of each other group that it still has work for or has used within kIdleRuntimeLifetime.
class GroupDirectory {
 public:
  /// Time for which the runtime of a group that this host does not own is kept after its last use.
  static constexpr Duration kIdleRuntimeLifetime = std::chrono::seconds(30);

  GroupDirectory(HostContext& context, const HostTable& hosts);

  /// Applies a new configuration to the groups and recomputes the owners.
  void apply_configuration(const Configuration& configuration, TimePoint now);

  /// Recomputes the owners after a change in the set of working hosts.
  void update_owners(TimePoint now);

  /// Returns the runtime of `group`, which is created if there is none, or null if the group is not configured.
  GroupRuntime* open(const GroupId& group, TimePoint now);

  /// Returns the runtime of `group`, or null if this host has none.
  GroupRuntime* find(const GroupId& group);

  /// Returns the owner of `group` in `domain`, or nothing if no host works in that domain.
  std::optional<HostId> owner_of(const GroupId& group, const FailureDomainId& domain) const;

  /// Returns the owners of `group` in all failure domains, sorted.
  std::vector<HostId> owners_of(const GroupId& group) const;

  /// Pass an event of an upstream connection to the runtime of the group that the connection belongs to.
  void on_opened(ConnectionId connection, const tl::expected<void, UpstreamError>& outcome, TimePoint now);
  void on_completed(ConnectionId connection, OperationId operation, tl::expected<UpstreamResult, UpstreamError> outcome,
                    TimePoint now);
  void on_closed(ConnectionId connection, TimePoint now);
  /// Runs the timers of all runtimes, and removes the runtimes that are no longer used.
  void on_tick(TimePoint now);

  /// Executes the pending actions of all groups and returns the notifications since the last call.
  std::vector<std::pair<GroupId, GroupNotification>> take_notifications(TimePoint now);

  /// Returns when on_tick() is due next, or nothing if there are no runtimes.
  std::optional<TimePoint> next_wakeup() const;

  const std::map<GroupId, std::unique_ptr<GroupRuntime>>& runtimes() const { return m_runtimes; }

 private:
  GroupRuntime* find_by_prefix(std::uint32_t prefix);
  GroupOwnership ownership_of(const GroupConfiguration& group) const;
  bool is_unused(const GroupId& group, const GroupRuntime& runtime, TimePoint now) const;

  HostContext& m_context;
  const HostTable& m_hosts;
  std::map<GroupId, GroupConfiguration> m_groups;
  std::map<GroupId, std::unique_ptr<GroupRuntime>> m_runtimes;
  std::map<GroupId, TimePoint> m_last_use;
  // The group of each prefix of connection ids.
  std::map<std::uint32_t, GroupId> m_prefixes;
  std::uint32_t m_last_prefix = 0;
  // The working hosts of each failure domain, copied from the host table after each change.
  std::map<FailureDomainId, std::vector<HostId>> m_working_hosts;
  // Owners by group and failure domain, cached because each request needs one. Cleared when the hosts change.
  mutable std::map<std::pair<GroupId, FailureDomainId>, std::optional<HostId>> m_owner_cache;
};

}  // namespace teaselrudder
