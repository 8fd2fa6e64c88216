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

/// The groups of the configuration, their owners, and the runtimes that this host has of them.
class GroupDirectory {
 public:
  /// Time for which a runtime that this host does not own is kept after its last use.
  static constexpr Duration kIdleRuntimeKept = std::chrono::seconds(30);

  GroupDirectory(HostContext& context, const HostTable& hosts);

  /// Takes a new configuration.
  void apply_configuration(const Configuration& configuration, TimePoint now);

  /// Recomputes the owners after a change of the hosts.
  void update_owners(TimePoint now);

  /// Returns the runtime of `group`, opening it if need be, or null if the group is not configured.
  GroupRuntime* open(const GroupId& group, TimePoint now);

  /// Returns the runtime of `group` if this host has one.
  GroupRuntime* find(const GroupId& group);

  /// Returns the owner of `group` in `domain`, or nothing if no host there takes work.
  std::optional<HostId> owner_of(const GroupId& group, const FailureDomainId& domain) const;

  /// Returns the owners of `group` in all failure domains, sorted.
  std::vector<HostId> owners_of(const GroupId& group) const;

  void on_opened(ConnectionId connection, const tl::expected<void, UpstreamError>& outcome, TimePoint now);
  void on_completed(ConnectionId connection, OperationId operation, tl::expected<UpstreamResult, UpstreamError> outcome,
                    TimePoint now);
  void on_closed(ConnectionId connection, TimePoint now);
  void on_tick(TimePoint now);

  /// Carries out what the groups decided and returns what happened since the last call.
  std::vector<std::pair<GroupId, GroupNotice>> take_notices(TimePoint now);

  /// Returns when on_tick() is due next, if a group is open.
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
  std::map<std::uint32_t, GroupId> m_prefixes;
  std::uint32_t m_last_prefix = 0;
  // The working hosts of each failure domain, read from the host table once per change.
  std::map<FailureDomainId, std::vector<HostId>> m_working_hosts;
  // Owners by (group, failure domain), since each request asks for one; cleared when the hosts change.
  mutable std::map<std::pair<GroupId, FailureDomainId>, std::optional<HostId>> m_owner_cache;
};

}  // namespace teaselrudder
