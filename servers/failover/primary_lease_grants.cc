#include "servers/failover/primary_lease_grants.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

void PrimaryLeaseGrants::on_leader_confirmed(const GroupLeader& leader, TimePoint sent_at) {
  const auto denied_at = m_denied_at.find(leader.member);
  const bool is_outdated = (denied_at != m_denied_at.end() && sent_at <= denied_at->second) ||
                           (m_confirmed.has_value() && leader.term < m_confirmed->term);
  if (sent_at >= m_duty_began && !is_outdated) {
    m_confirmed = leader;
  }
}

void PrimaryLeaseGrants::on_leader_denied(const MemberId& member, TimePoint sent_at) {
  m_denied_at[member] = sent_at;
  if (m_confirmed.has_value() && m_confirmed->member == member) {
    m_confirmed.reset();
  }
}

void PrimaryLeaseGrants::grant(const GroupLeader& announced, TimePoint now) {
  if (is_confirmed(announced) && !m_unannounced.has_value() && now >= m_duty_began + kTakeoverSilence) {
    m_granted_until = now + kTimeToLive;
  }
}

TimePoint PrimaryLeaseGrants::all_ended_at() const {
  const TimePoint former = m_duty_began + kTakeoverWait;
  return m_granted_until.has_value() ? std::max(former, *m_granted_until + kClockMargin) : former;
}

TimePoint PrimaryLeaseGrants::commits_end_at() const { return all_ended_at() - PrimaryLease::kCommitMargin; }

void PrimaryLeaseGrants::on_leader_found(const GroupLeader& leader, Term announced) {
  const Term newest = m_unannounced.has_value() ? std::max(announced, m_unannounced->term) : announced;
  if (leader.term > newest) {
    m_unannounced = leader;
  }
}

std::optional<GroupLeader> PrimaryLeaseGrants::take_leader(Term announced, TimePoint now) {
  if (m_unannounced.has_value() && m_unannounced->term <= announced) {
    m_unannounced.reset();
  }
  if (!is_announcement_due(now)) {
    return std::nullopt;
  }
  m_granted_until.reset();
  return std::exchange(m_unannounced, std::nullopt);
}

}  // namespace teaselrudder
