#include "servers/session_host/known_hosts.h"

#include <algorithm>
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
  Host& known = m_hosts[host];
  const bool is_same_process = known.incarnation == entry->incarnation;
  known = {entry->evidence_endpoint, entry->domain, entry->incarnation, std::nullopt,
           entry->stopping || (is_same_process && known.stopping)};
}

void KnownHosts::on_report(const HostId& host, bool stopping) { m_hosts.at(host).stopping = stopping; }

void KnownHosts::on_duty_record(const std::optional<HostId>& holder, TimePoint now) {
  note_duty_holder(now);
  m_ring.set_duty_holder(holder);
  note_duty_holder(now);
}

void KnownHosts::note_duty_holder(TimePoint now) {
  const std::optional<HostId>& holder = m_ring.duty_holder();
  if (holder.has_value() && *holder != m_self) {
    m_held_duty_at[*holder] = now;
  }
}

bool KnownHosts::may_be_led_elsewhere(const std::function<bool(const HostId&)>& is_heard, TimePoint now) const {
  if (!m_store_read_at.has_value() || now < *m_store_read_at + kMaxDutyWithoutWholeFleet) {
    return true;
  }
  return std::any_of(m_held_duty_at.begin(), m_held_duty_at.end(), [&](const auto& held) {
    const Host* const host = find(held.first);
    const bool stops = host != nullptr && host->stopping;
    return !stops && !is_heard(held.first);
  });
}

void KnownHosts::update(const std::vector<HostId>& reporting, const std::function<bool(const HostId&)>& is_heard,
                        TimePoint now) {
  note_duty_holder(now);
  std::erase_if(m_held_duty_at, [now](const auto& held) { return held.second + kMaxDutyWithoutWholeFleet <= now; });
  const auto is_reporting = [&reporting](const HostId& host) {
    return std::binary_search(reporting.begin(), reporting.end(), host);
  };
  m_departures += std::erase_if(m_hosts, [&](const auto& known) {
    return known.second.unlisted_since.has_value() && known.second.stopping && !is_reporting(known.first);
  });
  std::erase_if(m_hosts, [now](const auto& known) {
    return known.second.unlisted_since.has_value() && *known.second.unlisted_since + kUnlistedHostRetention <= now;
  });
  const bool led_elsewhere = may_be_led_elsewhere(is_heard, now);
  std::map<HostId, RingHost> others;
  m_has_expired_hosts = false;
  m_fleet_size = 1;
  for (const auto& [id, host] : m_hosts) {
    const HostMembership membership = membership_of(host, is_reporting(id), led_elsewhere);
    others[id] = {host.domain, membership};
    m_has_expired_hosts = m_has_expired_hosts || membership == HostMembership::kExpired;
    m_fleet_size += membership == HostMembership::kActive || is_reporting(id) ? 1 : 0;
  }
  m_ring.set_hosts(others);
}

HostMembership KnownHosts::membership_of(const Host& host, bool is_reporting, bool may_be_led_elsewhere) {
  if (host.stopping) {
    return HostMembership::kLeaving;
  }
  if (!host.unlisted_since.has_value() || is_reporting) {
    return HostMembership::kActive;
  }
  return may_be_led_elsewhere ? HostMembership::kSuspect : HostMembership::kExpired;
}

const KnownHosts::Host* KnownHosts::find(const HostId& host) const {
  const auto found = m_hosts.find(host);
  return found == m_hosts.end() ? nullptr : &found->second;
}

}  // namespace teaselrudder
