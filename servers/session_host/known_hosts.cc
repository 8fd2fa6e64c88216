#include "servers/session_host/known_hosts.h"

#include <algorithm>
#include <set>
#include <utility>

#include "servers/session_host/host_entry.h"

namespace teaselrudder {

void KnownHosts::on_record(const HostId& host, const std::optional<std::string>& value, TimePoint now) {
  if (!value.has_value()) {
    const auto known = m_hosts.find(host);
    if (known != m_hosts.end() && !known->second.unlisted_since.has_value()) {
      known->second.unlisted_since = now;
    }
    return;
  }
  const auto entry = decode_host_entry(*value);
  if (!entry.has_value()) {
    m_counters.count("host_entries_malformed");
    return;
  }
  m_hosts[host] = {entry->evidence_endpoint, entry->domain, std::nullopt};
}

void KnownHosts::update(const std::vector<HostId>& reporting, TimePoint now) {
  std::erase_if(m_hosts, [now](const auto& known) {
    return known.second.unlisted_since.has_value() && *known.second.unlisted_since + kUnlistedHostRetention <= now;
  });
  std::map<HostId, FailureDomainId> others;
  std::set<HostId> active;
  for (const auto& [id, host] : m_hosts) {
    others.emplace(id, host.domain);
    if (!host.unlisted_since.has_value() || std::binary_search(reporting.begin(), reporting.end(), id)) {
      active.insert(id);
    }
  }
  m_fleet_size = 1 + active.size();
  m_ring.set_hosts(others, std::move(active));
}

const KnownHosts::Host* KnownHosts::find(const HostId& host) const {
  const auto found = m_hosts.find(host);
  return found == m_hosts.end() ? nullptr : &found->second;
}

}  // namespace teaselrudder
