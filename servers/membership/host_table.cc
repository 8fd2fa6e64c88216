#include "servers/membership/host_table.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

namespace {

// With 1, a single lost packet would move the ownership of a host's groups to other hosts.
constexpr int kFailuresUntilSuspect = 2;

bool supersedes(const HostRecord& candidate, const HostRecord& known) {
  if (candidate.incarnation != known.incarnation) {
    return candidate.incarnation > known.incarnation;
  }
  return candidate.state > known.state;
}

bool accepts_work(const HostRecord& record) { return record.state == HostState::kAlive; }

}  // namespace

HostTable::HostTable(HostRecord self, HostTableTimings timings, std::uint64_t random_seed)
    : m_self(std::move(self)), m_timings(timings), m_random(random_seed) {}

bool HostTable::merge(const HostRecord& record, TimePoint now) {
  if (record.host == m_self.host) {
    return refute_own_state(record);
  }
  return apply_record(record, now);
}

bool HostTable::merge_list(const std::vector<HostRecord>& records, TimePoint now) {
  bool changed = false;
  for (HostRecord record : records) {
    // The list may be outdated, so it may add hosts and report them as leaving, but not as suspect or dead.
    if (record.state == HostState::kSuspect || record.state == HostState::kDead) {
      record.state = HostState::kLeaving;
    }
    changed = merge(record, now) || changed;
  }
  return changed;
}

std::vector<ProbeTarget> HostTable::on_tick(TimePoint now) {
  advance_suspicions(now);
  std::vector<ProbeTarget> due;
  // In a large failure domain the random choice would take long to select the same host again.
  for (const HostId& host : std::exchange(m_hosts_to_reprobe, {})) {
    if (const HostRecord* record = find(host)) {
      due.push_back({record->host, record->peer_endpoint});
    }
  }
  if (now >= m_next_probe) {
    m_next_probe = now + m_timings.probe_interval;
    if (std::optional<ProbeTarget> target = pick_probe(true)) {
      due.push_back(std::move(*target));
    }
  }
  if (now >= m_next_remote_probe) {
    m_next_remote_probe = now + m_timings.remote_probe_interval;
    if (std::optional<ProbeTarget> target = pick_probe(false)) {
      due.push_back(std::move(*target));
    }
  }
  return due;
}

bool HostTable::on_answer(const HostRecord& responder, TimePoint now) {
  bool changed = merge(responder, now);
  const auto found = m_hosts.find(responder.host);
  if (found == m_hosts.end()) {
    return changed;
  }
  Entry& entry = found->second;
  entry.failures = 0;
  // A direct answer proves that the host is alive and ends a suspicion in the same incarnation.
  if (entry.record.state == HostState::kSuspect && responder.state == HostState::kAlive &&
      entry.record.incarnation == responder.incarnation) {
    entry.record.state = HostState::kAlive;
    entry.changed_at = now;
    changed = true;
  }
  return changed;
}

bool HostTable::on_failure(const HostId& host, TimePoint now) {
  const auto found = m_hosts.find(host);
  if (found == m_hosts.end()) {
    return false;
  }
  Entry& entry = found->second;
  ++entry.failures;
  if (entry.record.state != HostState::kAlive) {
    return false;
  }
  if (entry.failures < kFailuresUntilSuspect) {
    m_hosts_to_reprobe.insert(host);
    return false;
  }
  entry.record.state = HostState::kSuspect;
  entry.changed_at = now;
  return true;
}

void HostTable::leave(TimePoint /*now*/) { m_self.state = HostState::kLeaving; }

const HostRecord* HostTable::find(const HostId& host) const {
  if (host == m_self.host) {
    return &m_self;
  }
  const auto found = m_hosts.find(host);
  return found == m_hosts.end() ? nullptr : &found->second.record;
}

std::vector<HostId> HostTable::working_hosts(const FailureDomainId& domain) const {
  std::vector<HostId> hosts;
  if (m_self.failure_domain == domain && accepts_work(m_self)) {
    hosts.push_back(m_self.host);
  }
  for (const auto& [host, entry] : m_hosts) {
    if (entry.record.failure_domain == domain && accepts_work(entry.record)) {
      hosts.push_back(host);
    }
  }
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

std::vector<HostId> HostTable::working_hosts() const {
  std::vector<HostId> hosts;
  if (accepts_work(m_self)) {
    hosts.push_back(m_self.host);
  }
  for (const auto& [host, entry] : m_hosts) {
    if (accepts_work(entry.record)) {
      hosts.push_back(host);
    }
  }
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

std::vector<HostRecord> HostTable::records_to_share() {
  std::vector<HostRecord> records = {m_self};
  if (m_hosts.empty()) {
    return records;
  }
  std::vector<const Entry*> newest;
  newest.reserve(m_hosts.size());
  for (const auto& [host, entry] : m_hosts) {
    newest.push_back(&entry);
  }
  const std::size_t newest_count = std::min(newest.size(), kMaxSharedRecords / 2);
  std::partial_sort(newest.begin(), newest.begin() + static_cast<std::ptrdiff_t>(newest_count), newest.end(),
                    [](const Entry* left, const Entry* right) { return left->changed_at > right->changed_at; });
  for (std::size_t index = 0; index < newest_count; ++index) {
    records.push_back(newest[index]->record);
  }
  // The remaining records rotate through all hosts, so that a host that missed a change receives it eventually.
  auto next = m_hosts.upper_bound(m_last_rotated_host);
  const std::size_t rotating_count = std::min(m_hosts.size(), kMaxSharedRecords - records.size());
  for (std::size_t index = 0; index < rotating_count; ++index) {
    if (next == m_hosts.end()) {
      next = m_hosts.begin();
    }
    records.push_back(next->second.record);
    m_last_rotated_host = next->first;
    ++next;
  }
  return records;
}

std::vector<HostRecord> HostTable::all_records() const {
  std::vector<HostRecord> records = {m_self};
  for (const auto& [host, entry] : m_hosts) {
    records.push_back(entry.record);
  }
  return records;
}

bool HostTable::apply_record(const HostRecord& record, TimePoint now) {
  const auto found = m_hosts.find(record.host);
  if (found == m_hosts.end()) {
    if (m_hosts.size() >= kMaxHosts) {
      return false;
    }
    m_hosts.emplace(record.host, Entry{record, now, 0});
    return true;
  }
  if (!supersedes(record, found->second.record)) {
    return false;
  }
  found->second = Entry{record, now, 0};
  return true;
}

bool HostTable::refute_own_state(const HostRecord& record) {
  // Other hosts consider this host suspect, dead or leaving although it is not. A higher incarnation overrides their
  // records.
  const bool contradicts =
      record.incarnation >= m_self.incarnation && record.state != m_self.state && record.state > m_self.state;
  if (!contradicts) {
    return false;
  }
  m_self.incarnation = Incarnation(record.incarnation.value() + 1);
  return true;
}

void HostTable::advance_suspicions(TimePoint now) {
  for (auto entry = m_hosts.begin(); entry != m_hosts.end();) {
    HostRecord& record = entry->second.record;
    const Duration unchanged = now - entry->second.changed_at;
    if (record.state == HostState::kSuspect && unchanged >= m_timings.suspect_timeout) {
      record.state = HostState::kDead;
      entry->second.changed_at = now;
    }
    const bool is_gone = record.state == HostState::kDead || record.state == HostState::kLeaving;
    if (is_gone && unchanged >= m_timings.dead_host_retention) {
      entry = m_hosts.erase(entry);
      continue;
    }
    ++entry;
  }
}

std::optional<ProbeTarget> HostTable::pick_probe(bool own_domain) {
  std::vector<const HostRecord*> candidates;
  for (const auto& [host, entry] : m_hosts) {
    const bool in_own_domain = entry.record.failure_domain == m_self.failure_domain;
    if (in_own_domain == own_domain) {
      candidates.push_back(&entry.record);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  // Dead hosts remain candidates, so that they are found again after a network partition heals.
  const HostRecord& chosen = *candidates[m_random.next() % candidates.size()];
  return ProbeTarget{chosen.host, chosen.peer_endpoint};
}

}  // namespace teaselrudder
