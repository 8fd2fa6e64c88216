#include "servers/failover/evidence_board.h"

#include <algorithm>

namespace teaselrudder {

bool EvidenceBoard::on_report(const EvidenceReport& report, TimePoint now) {
  const auto [known, added] = m_entries.try_emplace(report.sender);
  Entry& entry = known->second;
  if (added) {
    entry.index = m_entries.size() - 1;
  }
  if (entry.arrived_at != TimePoint() && report.sent_at_us < entry.sent_at_us &&
      now < entry.arrived_at + kForgetAfter) {
    return false;
  }
  entry.sent_at_us = report.sent_at_us;
  entry.store_current = report.store_current;
  entry.holds_duty = report.duty_token != 0;
  entry.hears_duty_holder = report.hears_duty_holder;
  entry.arrived_at = now;
  for (const PrimaryEvidence& evidence : report.groups) {
    std::vector<Evidence>& on_group = m_evidence[evidence.group];
    if (on_group.size() <= entry.index) {
      on_group.resize(entry.index + 1);
    }
    on_group[entry.index] = {evidence, now};
  }
  return true;
}

void EvidenceBoard::visit_fresh_evidence(const GroupId& group, TimePoint now,
                                         const std::function<void(const PrimaryEvidence&, Duration)>& visit) const {
  const auto found = m_evidence.find(group);
  if (found == m_evidence.end()) {
    return;
  }
  m_evidence_read += found->second.size();
  for (const Evidence& entry : found->second) {
    if (entry.is_fresh(now)) {
      visit(entry.evidence, now - entry.arrived_at);
    }
  }
}

bool EvidenceBoard::has_fresh_evidence(const GroupId& group, TimePoint now) const {
  const auto found = m_evidence.find(group);
  return found != m_evidence.end() && std::any_of(found->second.begin(), found->second.end(),
                                                  [now](const Evidence& entry) { return entry.is_fresh(now); });
}

bool EvidenceBoard::has_fresh_report(const HostId& host, TimePoint now) const {
  return has_report_within(host, kFreshFor, now);
}

bool EvidenceBoard::has_report_within(const HostId& host, Duration limit, TimePoint now) const {
  const auto found = m_entries.find(host);
  return found != m_entries.end() && now - found->second.arrived_at <= limit;
}

bool EvidenceBoard::hears_duty_holder(Duration limit, TimePoint now) const {
  return std::any_of(m_entries.begin(), m_entries.end(), [limit, now](const auto& entry) {
    return entry.second.holds_duty && now - entry.second.arrived_at <= limit;
  });
}

bool EvidenceBoard::is_duty_holder_heard_elsewhere(Duration limit, TimePoint now) const {
  return std::any_of(m_entries.begin(), m_entries.end(), [limit, now](const auto& entry) {
    return entry.second.hears_duty_holder && now - entry.second.arrived_at <= limit;
  });
}

bool EvidenceBoard::all_dropped_leases(const GroupId& group, Term replaced, TimePoint since, TimePoint now) const {
  const auto on_group = m_evidence.find(group);
  const auto has_dropped = [&](const Entry& host) {
    if (on_group == m_evidence.end() || on_group->second.size() <= host.index) {
      return false;
    }
    const Evidence& newest = on_group->second[host.index];
    return newest.arrived_at >= since && newest.evidence.replaced_term >= replaced;
  };
  return std::all_of(m_entries.begin(), m_entries.end(), [&](const auto& entry) {
    return now - entry.second.arrived_at > kFreshFor || has_dropped(entry.second);
  });
}

std::size_t EvidenceBoard::hosts_with_fresh_report(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [now](const auto& entry) {
    return now - entry.second.arrived_at <= kFreshFor;
  }));
}

std::size_t EvidenceBoard::hosts_with_current_store(TimePoint now) const {
  std::size_t count = 0;
  for (const auto& [host, entry] : m_entries) {
    count += now - entry.arrived_at <= kFreshFor && entry.store_current ? 1 : 0;
  }
  return count;
}

std::vector<HostId> EvidenceBoard::known_hosts(TimePoint now) const {
  std::vector<HostId> hosts;
  for (const auto& [host, entry] : m_entries) {
    if (now - entry.arrived_at <= kForgetAfter) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::optional<std::pair<std::int64_t, TimePoint>> EvidenceBoard::newest_report_from(const HostId& host) const {
  const auto found = m_entries.find(host);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  return std::pair(found->second.sent_at_us, found->second.arrived_at);
}

}  // namespace teaselrudder
