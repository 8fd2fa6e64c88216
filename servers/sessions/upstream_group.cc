#include "servers/sessions/upstream_group.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

void UpstreamGroup::on_member_seen(const MemberEntry& entry, TimePoint now) {
  const auto [position, added] = m_members.try_emplace(entry.member);
  UpstreamMember& member = position->second;
  m_largest_size = std::max(m_largest_size, count_staying());
  const bool was_primary = !added && member.entry.is_primary.value_or(false);
  member.entry = entry;
  member.missing_since.reset();
  if (!entry.leaving) {
    member.leaving_since.reset();
  } else if (!member.leaving_since.has_value()) {
    member.leaving_since = now;
  }
  if (!entry.is_primary.value_or(false) || m_primary == entry.member) {
    return;
  }
  if (m_term == Term(0)) {
    m_primary = entry.member;
  } else if (!was_primary) {
    doubt_primary(now);
  }
}

void UpstreamGroup::on_member_missing(const MemberId& member, bool store_was_unreachable, TimePoint now) {
  UpstreamMember* const known = find(member);
  if (known == nullptr || known->missing_since.has_value()) {
    return;
  }
  known->missing_since = store_was_unreachable ? now : now - kMissingEntryGracePeriod;
  if (m_primary != member && !has_successor(*known)) {
    m_min_promotion_position.reset();
    m_replica_left_at = now;
  }
}

bool UpstreamGroup::has_successor(const UpstreamMember& left) const {
  return std::any_of(m_members.begin(), m_members.end(), [&left](const auto& known) {
    const MemberEntry& entry = known.second.entry;
    return entry.member != left.entry.member && entry.endpoint == left.entry.endpoint &&
           !known.second.missing_since.has_value();
  });
}

std::size_t UpstreamGroup::count_staying() const {
  return static_cast<std::size_t>(std::count_if(
      m_members.begin(), m_members.end(), [](const auto& known) { return !known.second.leaving_since.has_value(); }));
}

std::vector<UpstreamMember> UpstreamGroup::remove_missing(TimePoint now) {
  std::vector<UpstreamMember> removed;
  for (auto member = m_members.begin(); member != m_members.end();) {
    if (!member->second.missing_since.has_value() || now < *member->second.missing_since + kMissingEntryGracePeriod) {
      ++member;
      continue;
    }
    removed.push_back(std::move(member->second));
    member = m_members.erase(member);
  }
  return removed;
}

UpstreamMember* UpstreamGroup::find(const MemberId& member) {
  const auto found = m_members.find(member);
  return found == m_members.end() ? nullptr : &found->second;
}

const UpstreamMember* UpstreamGroup::find(const MemberId& member) const {
  const auto found = m_members.find(member);
  return found == m_members.end() ? nullptr : &found->second;
}

bool UpstreamGroup::update_primary(const MemberId& member, Term term, TimePoint now) {
  // A term has one leader, so another member in the known term is an error of the sender.
  if (term <= m_term) {
    return false;
  }
  const bool changed = m_primary != member || m_term == Term(0);
  m_primary = member;
  m_term = term;
  m_primary_learned_at = now;
  m_lease.reset();
  m_doubted_at.reset();
  if (changed) {
    m_commit_waits_since.reset();
  }
  return changed;
}

void UpstreamGroup::on_lease(const PrimaryLease& lease, TimePoint now) {
  const bool is_of_primary = m_term != Term(0) && lease.leader.term == m_term && m_primary == lease.leader.member;
  const bool is_revoked =
      m_revocation.has_value() && lease.leader.term <= m_revocation->term && lease.until <= m_revocation->until;
  if (!is_of_primary || is_revoked || (m_lease.has_value() && lease.until <= m_lease->until)) {
    return;
  }
  m_lease = lease;
  m_lease_arrived_at = now;
  m_revocation.reset();
  if (m_revocation_elsewhere.has_value() && lease.until > m_revocation_elsewhere->until) {
    m_revocation_elsewhere.reset();
  }
  m_lease_requested_at.reset();
}

void UpstreamGroup::revoke_leases(Term replaced, TimePoint now) {
  if (replaced < m_term) {
    return;
  }
  m_revocation = Revocation{replaced, now + PrimaryLease::kTimeToLive};
  m_lease.reset();
}

void UpstreamGroup::note_revoked_elsewhere(Term term, TimePoint now) {
  if (term >= m_term && (!m_revocation_elsewhere.has_value() || m_revocation_elsewhere->term < term)) {
    m_revocation_elsewhere = Revocation{term, now + PrimaryLease::kTimeToLive};
  }
}

bool UpstreamGroup::is_leased_at(TimePoint time) const {
  return m_lease.has_value() && m_primary_learned_at <= time && time <= m_lease->until;
}

bool UpstreamGroup::may_acknowledge(const GroupLeader& primary, TimePoint time) const {
  return announced_leader() == primary && is_leased_at(time) && time <= m_lease->until - PrimaryLease::kCommitMargin;
}

bool UpstreamGroup::primary_holds_commits_before(TimePoint time) const {
  if (m_term == Term(0)) {
    return false;
  }
  if (m_lease.has_value() && time <= m_lease->until) {
    return true;
  }
  const std::optional<PositionSample> newest = m_evidence.newest();
  return newest.has_value() && newest->position.term <= m_term && time <= newest->requested_at;
}

void UpstreamGroup::on_connection_lacked_elsewhere(const MemberId& member, TimePoint now) {
  if (UpstreamMember* const known = find(member); known != nullptr) {
    known->lacked_elsewhere_at = now;
  }
}

bool UpstreamGroup::requests_lease(TimePoint now) const {
  return m_lease_requested_at.has_value() && now < *m_lease_requested_at + kRequestRelevance;
}

void UpstreamGroup::on_primary_position(const LogPoint& position, TimePoint requested_at) {
  m_evidence.add(position, requested_at);
  on_reported_position(position, requested_at);
}

void UpstreamGroup::on_reported_position(const LogPoint& position, TimePoint at) {
  if (!m_min_promotion_position.has_value() && at > m_replica_left_at) {
    m_min_promotion_position = position;
  }
}

void UpstreamGroup::on_attempt(const MemberId& member, TimePoint now) {
  UpstreamMember* const known = find(member);
  if (known != nullptr && !known->silent_since.has_value()) {
    known->silent_since = now;
  }
}

void UpstreamGroup::on_answer(const MemberId& member, bool waiting, TimePoint now) {
  UpstreamMember* const known = find(member);
  if (known == nullptr) {
    return;
  }
  known->last_reply_at = now;
  known->silent_since.reset();
  if (waiting) {
    known->silent_since = now;
  }
}

void UpstreamGroup::on_commit_sent(TimePoint now) {
  if (commit_stall(now) == Duration(0)) {
    m_commit_waits_since = now;
  }
  m_commit_sent_at = now;
}

Duration UpstreamGroup::commit_stall(TimePoint now) const {
  if (!m_commit_waits_since.has_value() || m_commit_sent_at + kCommitStallWindow <= now) {
    return Duration(0);
  }
  return now - *m_commit_waits_since;
}

void UpstreamGroup::on_commit_acknowledged(TimePoint now) {
  m_commit_acknowledged_at = now;
  m_commit_waits_since.reset();
}

bool UpstreamGroup::is_primary_reachable(Duration limit, TimePoint now) const {
  const UpstreamMember* const primary = m_primary.has_value() ? find(*m_primary) : nullptr;
  if (primary == nullptr || (primary->silent_since.has_value() && *primary->silent_since + limit <= now)) {
    return false;
  }
  return commit_stall(now) < limit;
}

bool UpstreamGroup::needs_report(TimePoint now) const {
  const UpstreamMember* const primary = m_primary.has_value() ? find(*m_primary) : nullptr;
  if (primary == nullptr) {
    return false;
  }
  const TimePoint latest = std::max(primary->last_reply_at, m_primary_learned_at);
  return (latest != TimePoint() && now < latest + kReportRelevance) || primary->silent_since.has_value() ||
         commit_stall(now) > Duration(0) || requests_lease(now) || doubts_primary(now);
}

bool UpstreamGroup::doubts_primary(TimePoint now) const {
  return m_doubted_at.has_value() && now < *m_doubted_at + kRequestRelevance;
}

PrimaryEvidence UpstreamGroup::report(TimePoint now) const {
  PrimaryEvidence report;
  report.group = m_group;
  if (m_primary.has_value()) {
    report.primary = *m_primary;
    report.term = m_term;
  }
  const UpstreamMember* const primary = m_primary.has_value() ? find(*m_primary) : nullptr;
  if (primary != nullptr) {
    if (primary->last_reply_at != TimePoint()) {
      report.last_answer_age = now - primary->last_reply_at;
    }
    if (primary->silent_since.has_value()) {
      report.unanswered_for = now - *primary->silent_since;
    }
    report.lacks_connection = primary->lacks_connection(now);
  }
  if (m_commit_acknowledged_at.has_value()) {
    report.commit_age = now - *m_commit_acknowledged_at;
  }
  report.commit_stalled_for = commit_stall(now);
  if (m_lease.has_value() && now < m_lease->until) {
    report.lease_remaining = m_lease->until - now;
    report.lease_token = m_lease->token;
  }
  report.requests_lease = requests_lease(now);
  report.replaced_term = is_revoked(now) && !m_lease.has_value() ? m_revocation->term : Term(0);
  report.revoked_term = was_being_replaced() ? m_revocation->term : Term(0);
  report.acknowledged = m_acknowledged;
  report.doubts_primary = doubts_primary(now);
  if (const auto newest = m_evidence.newest(); newest.has_value()) {
    report.position = newest->position;
    report.position_age = now - newest->requested_at;
  }
  return report;
}

}  // namespace teaselrudder
