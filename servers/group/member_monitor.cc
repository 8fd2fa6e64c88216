#include "servers/group/member_monitor.h"

#include <algorithm>

namespace teaselrudder {

void MemberMonitor::set_members(const std::vector<MemberId>& members, TimePoint now) {
  std::map<MemberId, MonitoredMember> kept;
  for (const MemberId& member : members) {
    const auto known = m_members.find(member);
    if (known != m_members.end()) {
      kept.emplace(member, std::move(known->second));
      continue;
    }
    MonitoredMember fresh;
    fresh.next_probe_at = now;
    fresh.silent_since = now;
    kept.emplace(member, std::move(fresh));
  }
  m_members = std::move(kept);
}

void MemberMonitor::expire_probes(TimePoint now) {
  for (auto& [id, member] : m_members) {
    if (member.outstanding_probe.has_value() && now >= member.sent_at + m_timings.probe_timeout) {
      mark_failed(member, now);
    }
  }
}

TimePoint MemberMonitor::due_at(const MonitoredMember& member, std::optional<TimePoint> confirmation_probe_at) const {
  // A confirmation may bring the next probe forward, except for an unreachable member: each of its probes opens a
  // connection, and many confirmations would cause a flood of connection attempts.
  if (!confirmation_probe_at.has_value() || member.new_connection_failed) {
    return member.next_probe_at;
  }
  return std::min(*confirmation_probe_at, member.next_probe_at);
}

bool MemberMonitor::is_due(const MemberId& member, std::optional<TimePoint> confirmation_probe_at,
                           TimePoint now) const {
  const MonitoredMember& monitored = m_members.at(member);
  return !monitored.outstanding_probe.has_value() && now >= due_at(monitored, confirmation_probe_at);
}

SendProbe MemberMonitor::start_probe(const MemberId& member, TimePoint now) {
  MonitoredMember& monitored = m_members.at(member);
  const ProbeId probe(m_next_probe++);
  monitored.outstanding_probe = probe;
  monitored.outstanding_probe_uses_new_connection = monitored.next_probe_uses_new_connection;
  monitored.sent_at = now;
  monitored.next_probe_at = now + m_timings.probe_interval;
  return {member, probe, monitored.next_probe_uses_new_connection};
}

std::optional<TimePoint> MemberMonitor::finish_probe(const MemberId& member, ProbeId probe) {
  const auto found = m_members.find(member);
  if (found == m_members.end() || found->second.outstanding_probe != probe) {
    return std::nullopt;
  }
  MonitoredMember& monitored = found->second;
  monitored.outstanding_probe.reset();
  monitored.next_probe_uses_new_connection = false;
  monitored.failures = 0;
  return monitored.sent_at;
}

void MemberMonitor::fail_probe(const MemberId& member, ProbeId probe, TimePoint now) {
  const auto found = m_members.find(member);
  if (found == m_members.end() || found->second.outstanding_probe != probe) {
    return;
  }
  mark_failed(found->second, now);
}

void MemberMonitor::mark_failed(MonitoredMember& member, TimePoint now) const {
  member.outstanding_probe.reset();
  member.new_connection_failed = member.new_connection_failed || member.outstanding_probe_uses_new_connection;
  member.next_probe_uses_new_connection = true;
  ++member.failures;
  // The first failure may be due to a broken connection, so a new connection is tried at once.
  member.next_probe_at = member.failures == 1 ? now : std::max(now, member.sent_at + m_timings.probe_interval);
}

void MemberMonitor::record(const MemberId& member, const MemberStatus& status, TimePoint requested_at, TimePoint now) {
  const auto found = m_members.find(member);
  if (found == m_members.end()) {
    return;
  }
  MonitoredMember& monitored = found->second;
  monitored.silent_since = now;
  monitored.new_connection_failed = false;
  std::optional<MemberView>& view = monitored.view;
  const bool outdated =
      view.has_value() && (requested_at < view->requested_at || status.raised_term < view->status.raised_term);
  if (outdated) {
    view->reported_at = now;
    return;
  }
  view = MemberView{status, requested_at, now};
}

void MemberMonitor::restart_after_pause(TimePoint now) {
  for (auto& [id, member] : m_members) {
    member.outstanding_probe.reset();
    member.new_connection_failed = false;
    member.failures = 0;
    member.next_probe_at = now;
    member.silent_since = now;
  }
}

bool MemberMonitor::is_suspected(const MemberId& member, TimePoint now) const {
  const auto found = m_members.find(member);
  if (found == m_members.end()) {
    return true;
  }
  return found->second.new_connection_failed && now >= found->second.silent_since + m_timings.suspicion_timeout;
}

bool MemberMonitor::is_responsive(const MemberId& member, TimePoint now) const {
  const MemberView* const view = find(member);
  return view != nullptr && now < view->reported_at + m_timings.suspicion_timeout;
}

const MemberView* MemberMonitor::find(const MemberId& member) const {
  const auto found = m_members.find(member);
  return found == m_members.end() || !found->second.view.has_value() ? nullptr : &*found->second.view;
}

TimePoint MemberMonitor::next_wakeup(const MemberId& member, std::optional<TimePoint> confirmation_probe_at,
                                     TimePoint now) const {
  const MonitoredMember& monitored = m_members.at(member);
  const TimePoint probe_at = monitored.outstanding_probe.has_value() ? monitored.sent_at + m_timings.probe_timeout
                                                                     : due_at(monitored, confirmation_probe_at);
  const TimePoint suspected_at = monitored.silent_since + m_timings.suspicion_timeout;
  return suspected_at > now ? std::min(probe_at, suspected_at) : probe_at;
}

}  // namespace teaselrudder
