#include "servers/group/failover_attempt.h"

#include <tuple>
#include <utility>

namespace teaselrudder {

FailoverAttempt::FailoverAttempt(Term term, HostId candidate, std::set<MemberId> members, TimePoint started_at)
    : m_term(term), m_candidate(std::move(candidate)), m_members(std::move(members)), m_started_at(started_at) {}

void FailoverAttempt::on_answer(const MemberId& member, bool granted, const MemberStatus& status) {
  if (!m_members.contains(member)) {
    return;
  }
  if (!granted || status.raised_term != m_term || status.candidate != m_candidate) {
    on_error(member);
    return;
  }
  m_failed.erase(member);
  m_grants.insert_or_assign(member, status);
}

void FailoverAttempt::on_error(const MemberId& member) {
  if (m_members.contains(member) && !m_grants.contains(member)) {
    m_failed.insert(member);
  }
}

bool FailoverAttempt::has_majority() const { return m_grants.size() >= majority(); }

bool FailoverAttempt::cannot_succeed() const { return m_members.size() - m_failed.size() < majority(); }

std::optional<MemberId> FailoverAttempt::choose_new_primary(const std::set<MemberId>& avoided) const {
  if (!has_majority()) {
    return std::nullopt;
  }
  const auto rank = [&avoided](const MemberId& member, const MemberStatus& status) {
    return std::tuple(status.log_term, status.received, !avoided.contains(member));
  };
  auto best = m_grants.begin();
  for (auto grant = m_grants.begin(); grant != m_grants.end(); ++grant) {
    if (rank(grant->first, grant->second) > rank(best->first, best->second)) {
      best = grant;
    }
  }
  return best->first;
}

}  // namespace teaselrudder
