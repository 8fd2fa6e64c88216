#include "servers/group/confirmation_tracker.h"

#include <algorithm>
#include <bit>
#include <iterator>

#include "core/config/configuration.h"

namespace teaselrudder {

static_assert(kMaxMembersPerGroup <= 32, "Votes has only 32 bits, one for each member");

void ConfirmationTracker::set_members(const std::vector<MemberId>& members, TimePoint now) {
  const bool unchanged = std::equal(members.begin(), members.end(), m_members.begin(), m_members.end(),
                                    [](const MemberId& id, const MemberProgress& member) { return id == member.id; });
  if (unchanged) {
    return;
  }
  m_members.clear();
  for (const MemberId& member : members) {
    m_members.push_back({member, Term(), std::nullopt, m_timings.confirm_delay_min});
    if (!m_open.empty()) {
      m_members.back().next_probe_at = now;
    }
  }
  for (auto& [id, open] : m_open) {
    open.votes = 0;
  }
}

ConfirmationId ConfirmationTracker::open(const LogPoint& point, TimePoint deadline, ProbeId first_probe,
                                         const std::optional<MemberEvidence>& primary_report, TimePoint now) {
  const ConfirmationId id(m_next_id++);
  if (m_open.size() >= m_timings.max_open_confirmations || point.term < m_primary_term) {
    m_results.push_back({id, false});
    return id;
  }
  OpenConfirmation open{point, deadline, first_probe, now, 0};
  if (primary_report.has_value()) {
    const std::optional<std::size_t> index = index_of(primary_report->member);
    if (index.has_value() && primary_report->status.is_primary) {
      count_vote(open, *index, {primary_report->member, primary_report->status, first_probe, now});
    }
  }
  const auto added = m_open.emplace(id, open).first;
  m_deadlines.insert({deadline, id});
  const std::optional<bool> decided = outcome(open);
  if (decided.has_value()) {
    finish(added, *decided);
    return id;
  }
  for (MemberProgress& member : m_members) {
    member.next_probe_at = now;
    member.retry_delay = m_timings.confirm_delay_min;
  }
  return id;
}

void ConfirmationTracker::cancel(ConfirmationId confirmation) {
  const auto found = m_open.find(confirmation);
  if (found == m_open.end()) {
    return;
  }
  m_deadlines.erase({found->second.deadline, confirmation});
  m_open.erase(found);
}

void ConfirmationTracker::on_report(const MemberEvidence& evidence, TimePoint now) {
  const std::optional<std::size_t> index = index_of(evidence.member);
  if (!index.has_value()) {
    return;
  }
  MemberProgress& member = m_members[*index];
  member.raised_term = std::max(member.raised_term, evidence.status.raised_term);
  for (auto open = m_open.begin(); open != m_open.end();) {
    count_vote(open->second, *index, evidence);
    const std::optional<bool> decided = outcome(open->second);
    open = decided.has_value() ? finish(open, *decided) : std::next(open);
  }
  schedule_probe(*index, evidence.probe, now);
}

void ConfirmationTracker::count_vote(OpenConfirmation& open, std::size_t index, const MemberEvidence& evidence) const {
  const Votes vote = Votes{1} << index;
  const MemberStatus& status = evidence.status;
  if (m_members[index].raised_term > open.point.term) {
    open.votes &= ~vote;
    return;
  }
  const bool requested_after =
      evidence.probe.has_value() ? *evidence.probe >= open.first_probe : evidence.requested_at > open.opened_at;
  const bool holds_point = status.raised_term == open.point.term && status.log_term == open.point.term &&
                           status.received >= open.point.position;
  if (requested_after && holds_point) {
    open.votes |= vote;
  }
}

std::optional<bool> ConfirmationTracker::outcome(const OpenConfirmation& open) const {
  const std::size_t majority = m_members.size() / 2 + 1;
  if (static_cast<std::size_t>(std::popcount(open.votes)) >= majority) {
    return true;
  }
  const auto eligible = std::count_if(m_members.begin(), m_members.end(), [&open](const MemberProgress& member) {
    return member.raised_term <= open.point.term;
  });
  if (static_cast<std::size_t>(eligible) < majority) {
    return false;
  }
  return std::nullopt;
}

void ConfirmationTracker::schedule_probe(std::size_t index, const std::optional<ProbeId>& probe, TimePoint now) {
  MemberProgress& member = m_members[index];
  const Votes vote = Votes{1} << index;
  bool is_behind = false;
  for (const auto& [id, open] : m_open) {
    if ((open.votes & vote) != 0 || member.raised_term > open.point.term) {
      continue;
    }
    // The probe was sent before this confirmation began, so its answer can't count and another probe is needed at once.
    if (probe.has_value() && *probe < open.first_probe) {
      member.next_probe_at = now;
      return;
    }
    is_behind = true;
  }
  if (!is_behind) {
    member.next_probe_at.reset();
    return;
  }
  if (!probe.has_value()) {
    return;
  }
  member.next_probe_at = now + member.retry_delay;
  member.retry_delay = std::min(member.retry_delay * 2, m_timings.confirm_delay_max);
}

void ConfirmationTracker::on_primary_term(Term term) {
  if (term <= m_primary_term) {
    return;
  }
  m_primary_term = term;
  for (auto open = m_open.begin(); open != m_open.end();) {
    open = open->second.point.term < term ? finish(open, false) : std::next(open);
  }
}

void ConfirmationTracker::fail_expired(TimePoint now) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    finish(m_open.find(m_deadlines.begin()->second), false);
  }
}

void ConfirmationTracker::on_probe_sent(const MemberId& member) {
  const std::optional<std::size_t> index = index_of(member);
  if (index.has_value()) {
    m_members[*index].next_probe_at.reset();
  }
}

std::optional<TimePoint> ConfirmationTracker::next_probe_at(const MemberId& member) const {
  const std::optional<std::size_t> index = index_of(member);
  return index.has_value() && !m_open.empty() ? m_members[*index].next_probe_at : std::nullopt;
}

std::optional<TimePoint> ConfirmationTracker::next_deadline() const {
  return m_deadlines.empty() ? std::nullopt : std::optional<TimePoint>(m_deadlines.begin()->first);
}

std::vector<ConfirmationDone> ConfirmationTracker::take_results() { return std::exchange(m_results, {}); }

std::optional<std::size_t> ConfirmationTracker::index_of(const MemberId& member) const {
  const auto found = std::find_if(m_members.begin(), m_members.end(),
                                  [&member](const MemberProgress& candidate) { return candidate.id == member; });
  if (found == m_members.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - m_members.begin());
}

std::map<ConfirmationId, ConfirmationTracker::OpenConfirmation>::iterator ConfirmationTracker::finish(
    std::map<ConfirmationId, OpenConfirmation>::iterator open, bool confirmed) {
  m_results.push_back({open->first, confirmed});
  m_deadlines.erase({open->second.deadline, open->first});
  return m_open.erase(open);
}

}  // namespace teaselrudder
