#include "servers/host/group_directory.h"

#include <algorithm>

#include "servers/membership/rendezvous.h"

namespace teaselrudder {

GroupDirectory::GroupDirectory(HostContext& context, const HostTable& hosts) : m_context(context), m_hosts(hosts) {}

void GroupDirectory::apply_configuration(const Configuration& configuration, TimePoint now) {
  m_groups = configuration.groups;
  for (auto& [id, group] : m_groups) {
    for (MemberConfiguration& member : group.members) {
      member.leaving = member.leaving || configuration.draining_failure_domains.contains(member.failure_domain);
    }
  }
  for (auto entry = m_runtimes.begin(); entry != m_runtimes.end();) {
    const auto group = m_groups.find(entry->first);
    if (group == m_groups.end()) {
      m_prefixes.erase(entry->second->prefix());
      entry = m_runtimes.erase(entry);
      continue;
    }
    entry->second->update_configuration(group->second, now);
    ++entry;
  }
  update_owners(now);
}

void GroupDirectory::update_owners(TimePoint now) {
  m_owner_cache.clear();
  m_working_hosts.clear();
  for (const HostRecord& record : m_hosts.all_records()) {
    if (record.state == HostState::kAlive) {
      m_working_hosts[record.failure_domain].push_back(record.host);
    }
  }
  for (const auto& [id, group] : m_groups) {
    const GroupOwnership ownership = ownership_of(group);
    GroupRuntime* runtime = ownership.owner ? open(id, now) : find(id);
    if (runtime != nullptr) {
      runtime->update_ownership(ownership, now);
    }
  }
}

GroupRuntime* GroupDirectory::open(const GroupId& group, TimePoint now) {
  m_last_use[group] = now;
  if (GroupRuntime* runtime = find(group)) {
    return runtime;
  }
  const auto configured = m_groups.find(group);
  if (configured == m_groups.end()) {
    return nullptr;
  }
  const std::uint32_t prefix = ++m_last_prefix;
  auto runtime = std::make_unique<GroupRuntime>(configured->second, prefix, m_context, now);
  runtime->update_ownership(ownership_of(configured->second), now);
  m_prefixes.emplace(prefix, group);
  return m_runtimes.emplace(group, std::move(runtime)).first->second.get();
}

GroupRuntime* GroupDirectory::find(const GroupId& group) {
  const auto found = m_runtimes.find(group);
  return found == m_runtimes.end() ? nullptr : found->second.get();
}

std::optional<HostId> GroupDirectory::owner_of(const GroupId& group, const FailureDomainId& domain) const {
  const auto key = std::make_pair(group, domain);
  const auto cached = m_owner_cache.find(key);
  if (cached != m_owner_cache.end()) {
    return cached->second;
  }
  const auto hosts = m_working_hosts.find(domain);
  std::optional<HostId> owner;
  if (hosts != m_working_hosts.end()) {
    owner = rank_hosts(hosts->second, group.value() + '/' + domain.value()).front();
  }
  m_owner_cache.emplace(key, owner);
  return owner;
}

std::vector<HostId> GroupDirectory::owners_of(const GroupId& group) const {
  std::vector<HostId> owners;
  for (const auto& [domain, hosts] : m_working_hosts) {
    if (std::optional<HostId> owner = owner_of(group, domain)) {
      owners.push_back(std::move(*owner));
    }
  }
  std::sort(owners.begin(), owners.end());
  return owners;
}

void GroupDirectory::on_opened(ConnectionId connection, const tl::expected<void, UpstreamError>& outcome,
                               TimePoint now) {
  if (GroupRuntime* runtime = find_by_prefix(IdSource::prefix_of(connection))) {
    runtime->on_opened(connection, outcome, now);
  }
}

void GroupDirectory::on_completed(ConnectionId connection, OperationId operation,
                                  tl::expected<UpstreamResult, UpstreamError> outcome, TimePoint now) {
  if (GroupRuntime* runtime = find_by_prefix(IdSource::prefix_of(connection))) {
    runtime->on_completed(connection, operation, std::move(outcome), now);
  }
}

void GroupDirectory::on_closed(ConnectionId connection, TimePoint now) {
  if (GroupRuntime* runtime = find_by_prefix(IdSource::prefix_of(connection))) {
    runtime->on_closed(connection, now);
  }
}

void GroupDirectory::on_tick(TimePoint now) {
  for (auto entry = m_runtimes.begin(); entry != m_runtimes.end();) {
    if (is_unused(entry->first, *entry->second, now)) {
      m_prefixes.erase(entry->second->prefix());
      m_last_use.erase(entry->first);
      entry = m_runtimes.erase(entry);
      continue;
    }
    entry->second->on_tick(now);
    ++entry;
  }
}

std::vector<std::pair<GroupId, GroupNotification>> GroupDirectory::take_notifications(TimePoint now) {
  std::vector<std::pair<GroupId, GroupNotification>> notifications;
  for (auto& [id, runtime] : m_runtimes) {
    runtime->execute_actions(now);
    for (GroupNotification& notification : runtime->take_notifications()) {
      notifications.emplace_back(id, std::move(notification));
    }
  }
  return notifications;
}

std::optional<TimePoint> GroupDirectory::next_wakeup() const {
  std::optional<TimePoint> earliest;
  for (const auto& [id, runtime] : m_runtimes) {
    const TimePoint due = runtime->next_wakeup();
    earliest = earliest.has_value() ? std::min(*earliest, due) : due;
  }
  return earliest;
}

GroupRuntime* GroupDirectory::find_by_prefix(std::uint32_t prefix) {
  const auto found = m_prefixes.find(prefix);
  return found == m_prefixes.end() ? nullptr : find(found->second);
}

GroupOwnership GroupDirectory::ownership_of(const GroupConfiguration& group) const {
  const HostId& self = m_context.settings.self.host;
  const std::vector<HostId> owners = owners_of(group.id);
  const auto place = std::find(owners.begin(), owners.end(), self);
  GroupOwnership ownership;
  ownership.owner = place != owners.end();
  // For a host that uses the group without owning it, this is the number of owners.
  ownership.rank = static_cast<std::size_t>(place - owners.begin());
  ownership.owners = std::max<std::size_t>(owners.size(), 1);
  if (!ownership.owner) {
    return ownership;
  }
  for (const MemberConfiguration& member : group.members) {
    if (owner_of(group.id, member.failure_domain) == self) {
      ownership.owned_members.insert(member.id);
    }
  }
  return ownership;
}

bool GroupDirectory::is_unused(const GroupId& group, const GroupRuntime& runtime, TimePoint now) const {
  const auto used = m_last_use.find(group);
  const bool recently_used = used != m_last_use.end() && now - used->second < kIdleRuntimeLifetime;
  return !runtime.ownership().owner && !recently_used && !runtime.busy();
}

}  // namespace teaselrudder
