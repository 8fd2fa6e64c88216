#include "servers/group/database_group.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

namespace {

// Limits the shift in the retry delay against overflow; retry_delay_max is reached long before.
constexpr std::uint32_t kMaxDoublings = 16;

}  // namespace

DatabaseGroup::DatabaseGroup(GroupConfiguration configuration, HostId self, GroupTimings timings,
                             std::shared_ptr<const StateChart> chart, TimePoint now)
    : m_configuration(std::move(configuration)),
      m_self(std::move(self)),
      m_timings(timings),
      m_chart(std::move(chart)),
      m_state(m_chart->initial()),
      m_last_event(now),
      m_monitor(timings),
      m_confirmations(timings),
      m_follow_order_limiter(timings.follow_interval),
      m_competing_attempt_until(now),
      m_earliest_attempt_at(now) {
  m_monitor.set_members(member_ids(), now);
  m_confirmations.set_members(member_ids(), now);
  m_freshness.set_majority(m_configuration.majority());
}

void DatabaseGroup::update_configuration(GroupConfiguration configuration, TimePoint now) {
  begin_event(now);
  const std::vector<MemberId> old_members = member_ids();
  m_configuration = std::move(configuration);
  if (member_ids() != old_members) {
    m_monitor.set_members(member_ids(), now);
    m_confirmations.set_members(member_ids(), now);
    m_freshness.set_majority(m_configuration.majority());
    if (m_attempt.has_value()) {
      // A majority of the old members need not be a majority of the new ones.
      fail_attempt(now);
    }
  }
  end_event(now);
}

void DatabaseGroup::update_owners(std::size_t rank, std::size_t count, TimePoint now) {
  begin_event(now);
  m_owner_rank = rank;
  m_owner_count = std::max<std::size_t>(count, 1);
  end_event(now);
}

void DatabaseGroup::on_tick(double random, TimePoint now) {
  begin_event(now);
  if (state() == GroupState::kWaiting && !m_attempt_at.has_value()) {
    schedule_attempt(random, now);
  }
  end_event(now);
}

void DatabaseGroup::on_probe_report(const MemberId& member, ProbeId probe, const MemberStatus& status, TimePoint now) {
  begin_event(now);
  const std::optional<TimePoint> sent_at = m_monitor.finish_probe(member, probe);
  if (sent_at.has_value()) {
    process_report({member, status, probe, *sent_at}, now);
    send_follow_if_needed(member, now);
  }
  end_event(now);
}

void DatabaseGroup::on_probe_failed(const MemberId& member, ProbeId probe, TimePoint now) {
  begin_event(now);
  m_monitor.fail_probe(member, probe, now);
  end_event(now);
}

void DatabaseGroup::on_operation_report(const MemberId& member, const MemberStatus& status, TimePoint requested_at,
                                        TimePoint now) {
  begin_event(now);
  const MemberEvidence evidence{member, status, std::nullopt, requested_at};
  process_report(evidence, now);
  if (status.is_primary) {
    m_operation_report = evidence;
    m_operation_report_received_at = now;
  }
  end_event(now);
}

void DatabaseGroup::on_raise_result(const MemberId& member, Term term, tl::expected<GrantResult, UpstreamError> result,
                                    TimePoint now) {
  begin_event(now);
  if (result.has_value()) {
    observe_term(result->status, now);
  }
  if (m_attempt.has_value() && m_attempt->term() == term) {
    if (result.has_value()) {
      process_report({member, result->status, std::nullopt, m_attempt->started_at()}, now);
      m_attempt->on_answer(member, result->granted, result->status);
    } else {
      m_attempt->on_error(member);
    }
    check_grants(now);
  }
  end_event(now);
}

void DatabaseGroup::on_promote_result(const MemberId& member, Term term,
                                      tl::expected<GrantResult, UpstreamError> result, TimePoint now) {
  begin_event(now);
  if (result.has_value()) {
    observe_term(result->status, now);
  }
  const bool expected = state() == GroupState::kPromoting && m_attempt->term() == term && m_promotion_target == member;
  if (expected && result.has_value()) {
    process_report({member, result->status, std::nullopt, m_promote_sent_at}, now);
    if (!result->granted) {
      fail_attempt(now);
    }
  } else if (expected) {
    // The order may have taken effect. The next probes show whether it did, so wait for one probe timeout only.
    m_attempt_deadline = std::min(m_attempt_deadline, now + m_timings.probe_timeout);
  }
  end_event(now);
}

void DatabaseGroup::on_follow_result(const MemberId& member, Term term, tl::expected<GrantResult, UpstreamError> result,
                                     TimePoint now) {
  begin_event(now);
  const std::optional<TimePoint> sent_at = m_follow_order_limiter.first_sent_at(member, term);
  if (result.has_value() && sent_at.has_value()) {
    process_report({member, result->status, std::nullopt, *sent_at}, now);
  }
  end_event(now);
}

void DatabaseGroup::on_suspicion_replies(Term term, std::size_t answered, std::size_t suspecting, Term highest_known,
                                         TimePoint now) {
  begin_event(now);
  m_highest_known_term = std::max(m_highest_known_term, highest_known);
  if (m_suspicion_reply_deadline.has_value() && term == m_suspicion_query_term) {
    m_suspicion_reply_deadline.reset();
    // This host is included in both counts: it answered, and it suspects the member.
    const bool confirmed = 2 * (suspecting + 1) > answered + 1;
    fire_event(confirmed ? GroupEvent::kSuspicionConfirmed : GroupEvent::kSuspicionRejected, now);
  }
  end_event(now);
}

ConfirmationId DatabaseGroup::confirm(const LogPoint& point, TimePoint deadline, TimePoint now) {
  begin_event(now);
  // Only a report that arrived at this same time can be the one that `point` was taken from.
  const bool is_current = m_operation_report.has_value() && m_operation_report_received_at == now;
  const std::optional<MemberEvidence> primary_report = is_current ? m_operation_report : std::nullopt;
  const ConfirmationId id = m_confirmations.open(point, deadline, m_monitor.next_probe_id(), primary_report, now);
  end_event(now);
  return id;
}

void DatabaseGroup::cancel_confirmation(ConfirmationId confirmation) { m_confirmations.cancel(confirmation); }

std::vector<GroupAction> DatabaseGroup::take_actions() { return std::exchange(m_actions, {}); }

TimePoint DatabaseGroup::next_wakeup() const {
  TimePoint wakeup = TimePoint::max();
  for (const MemberId& member : member_ids()) {
    wakeup = std::min(wakeup, m_monitor.next_wakeup(member, m_confirmations.next_probe_at(member), m_last_event));
  }
  wakeup = std::min(wakeup, m_confirmations.next_deadline().value_or(TimePoint::max()));
  return std::min(wakeup, next_state_wakeup().value_or(TimePoint::max()));
}

std::optional<PrimaryView> DatabaseGroup::primary() const { return m_primary; }

bool DatabaseGroup::suspects(const MemberId& member, Term term, TimePoint now) const {
  const std::vector<MemberId> members = member_ids();
  return std::none_of(members.begin(), members.end(), [&](const MemberId& candidate) {
    const bool answers = candidate == member ||
                         (find_member(candidate) != nullptr && find_member(candidate)->status.raised_term >= term);
    return answers && is_live_primary(candidate, now);
  });
}

bool DatabaseGroup::majority_reachable(TimePoint now) const {
  return count_responsive(now) >= m_configuration.majority();
}

Term DatabaseGroup::highest_known_term() const { return m_highest_known_term; }

const MemberView* DatabaseGroup::find_member(const MemberId& member) const { return m_monitor.find(member); }

const std::vector<FreshnessSample>& DatabaseGroup::samples() const { return m_freshness.samples(); }

void DatabaseGroup::begin_event(TimePoint now) {
  // With the default timings, probes cause events more often than this, so a longer gap means that this process did not
  // run.
  const bool was_paused = now - m_last_event > m_timings.probe_timeout;
  m_last_event = now;
  if (was_paused) {
    m_monitor.restart_after_pause(now);
  }
  m_monitor.expire_probes(now);
  m_confirmations.fail_expired(now);
  if (m_attempt.has_value() && now >= m_attempt_deadline) {
    fail_attempt(now);
  }
}

void DatabaseGroup::end_event(TimePoint now) {
  detect_primary(now);
  continue_asking(now);
  continue_waiting(now);
  start_probes(now);
  for (const ConfirmationDone& done : m_confirmations.take_results()) {
    m_actions.emplace_back(done);
  }
}

void DatabaseGroup::process_report(const MemberEvidence& evidence, TimePoint now) {
  if (m_configuration.find_member(evidence.member) == nullptr) {
    return;
  }
  const MemberStatus& status = evidence.status;
  observe_term(status, now);
  if (status.is_primary && status.raised_term > m_latest_primary_term) {
    m_latest_primary_term = status.raised_term;
    m_confirmations.on_primary_term(status.raised_term);
  }
  m_monitor.record(evidence.member, status, evidence.requested_at, now);
  m_confirmations.on_report(evidence, now);
  const bool is_primary = status.is_primary && status.raised_term == m_latest_primary_term;
  m_freshness.on_report(evidence.member, status, evidence.requested_at, is_primary);
}

void DatabaseGroup::observe_term(const MemberStatus& status, TimePoint now) {
  const bool is_newer = status.raised_term > m_highest_known_term;
  const bool collides = m_attempt.has_value() && status.raised_term == m_attempt->term();
  if ((is_newer || collides) && status.candidate != m_self && !status.is_primary) {
    m_competing_attempt_until = now + m_timings.competing_attempt_delay;
  }
  m_highest_known_term = std::max(m_highest_known_term, status.raised_term);
}

std::vector<MemberId> DatabaseGroup::member_ids() const {
  std::vector<MemberId> ids;
  ids.reserve(m_configuration.members.size());
  for (const MemberConfiguration& member : m_configuration.members) {
    ids.push_back(member.id);
  }
  return ids;
}

std::size_t DatabaseGroup::count_responsive(TimePoint now) const {
  const auto& members = m_configuration.members;
  return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const MemberConfiguration& member) {
    return m_monitor.is_responsive(member.id, now);
  }));
}

std::vector<MemberId> DatabaseGroup::responsive_remaining_members(TimePoint now) const {
  std::vector<MemberId> remaining;
  for (const MemberConfiguration& member : m_configuration.members) {
    if (!member.leaving && m_monitor.is_responsive(member.id, now)) {
      remaining.push_back(member.id);
    }
  }
  return remaining;
}

bool DatabaseGroup::should_hand_over(const MemberId& member, TimePoint now) const {
  const MemberConfiguration* const configured = m_configuration.find_member(member);
  return configured != nullptr && configured->leaving &&
         responsive_remaining_members(now).size() >= m_configuration.majority();
}

bool DatabaseGroup::majority_accepts_term(Term term, TimePoint now) const {
  std::size_t responsive = 0;
  std::size_t eligible = 0;
  for (const MemberConfiguration& member : m_configuration.members) {
    if (!m_monitor.is_responsive(member.id, now)) {
      continue;
    }
    ++responsive;
    eligible += m_monitor.find(member.id)->status.raised_term <= term ? 1 : 0;
  }
  // Without reports of a majority it is not known that the term can't be confirmed.
  return responsive < m_configuration.majority() || eligible >= m_configuration.majority();
}

bool DatabaseGroup::is_live_primary(const MemberId& member, TimePoint now) const {
  const MemberView* const view = m_monitor.find(member);
  if (view == nullptr || !view->status.is_primary || !m_monitor.is_responsive(member, now)) {
    return false;
  }
  const Term term = view->status.raised_term;
  return term == m_latest_primary_term && majority_accepts_term(term, now) && !should_hand_over(member, now);
}

std::optional<PrimaryView> DatabaseGroup::find_live_primary(TimePoint now) const {
  for (const MemberConfiguration& member : m_configuration.members) {
    if (is_live_primary(member.id, now)) {
      return PrimaryView{member.id, m_latest_primary_term};
    }
  }
  return std::nullopt;
}

bool DatabaseGroup::is_primary_lost(TimePoint now) const {
  if (!m_primary.has_value()) {
    // A member that has neither reported nor become suspected may be the primary.
    const auto& members = m_configuration.members;
    return majority_reachable(now) && std::all_of(members.begin(), members.end(), [&](const auto& member) {
             return m_monitor.is_responsive(member.id, now) || m_monitor.is_suspected(member.id, now);
           });
  }
  const MemberView* const view = m_monitor.find(m_primary->member);
  if (view == nullptr || m_monitor.is_suspected(m_primary->member, now)) {
    return true;
  }
  return m_monitor.is_responsive(m_primary->member, now) && !is_live_primary(m_primary->member, now);
}

std::optional<MemberId> DatabaseGroup::find_unresponsive_member(TimePoint now) const {
  if (m_primary.has_value()) {
    if (!m_monitor.is_responsive(m_primary->member, now)) {
      return m_primary->member;
    }
    const MemberStatus& status = m_monitor.find(m_primary->member)->status;
    const bool still_leads = status.is_primary && status.raised_term == m_latest_primary_term;
    if (!still_leads || should_hand_over(m_primary->member, now)) {
      return std::nullopt;
    }
    // Too few of the members that this host receives reports from accept the primary's term. Another owner may receive
    // reports from the others, so ask about a member that is silent here.
  }
  for (const MemberConfiguration& member : m_configuration.members) {
    if (!m_monitor.is_responsive(member.id, now)) {
      return member.id;
    }
  }
  return std::nullopt;
}

void DatabaseGroup::detect_primary(TimePoint now) {
  const std::optional<PrimaryView> live = find_live_primary(now);
  if (!live.has_value()) {
    if (is_primary_lost(now)) {
      fire_event(GroupEvent::kPrimaryLost, now);
    }
    return;
  }
  if (m_attempt.has_value() && live->term < m_attempt->term()) {
    // The old primary is being replaced. It is accepted again only if the attempt fails.
    return;
  }
  const bool changed = live != m_primary;
  if (changed) {
    set_primary(*live);
  }
  fire_event(GroupEvent::kPrimarySeen, now);
  m_attempt.reset();
  m_failed_attempts = 0;
  if (changed) {
    for (const MemberId& member : member_ids()) {
      send_follow_if_needed(member, now);
    }
  }
}

void DatabaseGroup::set_primary(const PrimaryView& primary) {
  std::string cause = state() == GroupState::kDiscovering ? "discovered" : "promoted_by_another_owner";
  if (m_attempt.has_value() && m_attempt->term() == primary.term) {
    cause = "promoted_by_this_host";
  }
  m_primary = primary;
  m_actions.emplace_back(PrimaryChanged{primary.member, primary.term, std::move(cause)});
}

void DatabaseGroup::clear_primary(const std::string& cause) {
  if (!m_primary.has_value()) {
    return;
  }
  m_actions.emplace_back(PrimaryChanged{std::nullopt, m_primary->term, cause});
  m_primary.reset();
}

void DatabaseGroup::fire_event(GroupEvent event, TimePoint now) {
  const ChartState before = m_state;
  m_state = m_chart->next(m_state, to_chart(event));
  if (m_state == before) {
    return;
  }
  m_suspicion_reply_deadline.reset();
  if (state() == GroupState::kAsking) {
    enter_asking(now);
  } else if (event == GroupEvent::kSuspicionConfirmed) {
    enter_waiting(now, now);
  }
}

void DatabaseGroup::enter_asking(TimePoint now) {
  const std::optional<MemberId> silent = find_unresponsive_member(now);
  if (!silent.has_value() || m_owner_count == 1) {
    // Every member that could be the primary has reported that it is not, or there is no other owner to ask.
    fire_event(GroupEvent::kSuspicionConfirmed, now);
    return;
  }
  m_suspicion_query_term = m_primary.has_value() ? m_primary->term : m_highest_known_term;
  m_suspicion_reply_deadline = now + m_timings.suspicion_reply_timeout;
  m_next_suspicion_query_at = now + m_timings.probe_interval;
  m_actions.emplace_back(AskSuspicion{*silent, m_suspicion_query_term});
}

void DatabaseGroup::enter_waiting(TimePoint earliest_attempt_at, TimePoint now) {
  m_earliest_attempt_at = earliest_attempt_at;
  m_attempt_at.reset();
  m_attempt.reset();
  m_promotion_target.reset();
  if (!m_primary.has_value()) {
    return;
  }
  clear_primary(m_monitor.is_responsive(m_primary->member, now) ? "no_longer_leading" : "suspected");
}

void DatabaseGroup::continue_asking(TimePoint now) {
  if (state() != GroupState::kAsking) {
    return;
  }
  if (m_suspicion_reply_deadline.has_value() && now >= *m_suspicion_reply_deadline) {
    m_suspicion_reply_deadline.reset();
    if (is_primary_lost(now)) {
      // The other owners did not answer in time, so this one decides alone.
      fire_event(GroupEvent::kSuspicionConfirmed, now);
      return;
    }
  }
  if (!m_suspicion_reply_deadline.has_value() && now >= m_next_suspicion_query_at) {
    m_next_suspicion_query_at = now + m_timings.probe_interval;
    if (is_primary_lost(now)) {
      enter_asking(now);
    }
  }
}

void DatabaseGroup::schedule_attempt(double random, TimePoint now) {
  const double share = (random + static_cast<double>(m_owner_rank)) / static_cast<double>(m_owner_count);
  const auto jitter = static_cast<Duration::rep>(static_cast<double>(m_timings.jitter_window.count()) * share);
  m_attempt_at = std::max({now, m_earliest_attempt_at, m_competing_attempt_until}) + Duration(jitter);
}

void DatabaseGroup::continue_waiting(TimePoint now) {
  if (state() != GroupState::kWaiting || !m_attempt_at.has_value() || now < *m_attempt_at) {
    return;
  }
  if (now < m_competing_attempt_until) {
    m_attempt_at.reset();
    return;
  }
  if (!majority_reachable(now)) {
    // Draw the jitter again later, so that the owners do not all start at once when a network partition heals.
    m_earliest_attempt_at = now + m_timings.probe_interval;
    m_attempt_at.reset();
    return;
  }
  start_attempt(now);
}

void DatabaseGroup::start_attempt(TimePoint now) {
  const std::vector<MemberId> members = member_ids();
  m_highest_known_term = Term(m_highest_known_term.value() + 1);
  m_attempt.emplace(m_highest_known_term, m_self, std::set<MemberId>(members.begin(), members.end()), now);
  m_attempt_deadline = now + m_timings.raise_timeout;
  // If the responsive members that are not leaving form a majority, only they are asked, so that one of them is
  // promoted. Otherwise all members are needed.
  const std::vector<MemberId> remaining = responsive_remaining_members(now);
  for (const MemberId& member : remaining.size() >= m_configuration.majority() ? remaining : members) {
    m_actions.emplace_back(SendRaiseTerm{member, m_highest_known_term});
  }
  fire_event(GroupEvent::kJitterOver, now);
}

void DatabaseGroup::check_grants(TimePoint now) {
  if (state() != GroupState::kRaising) {
    return;
  }
  if (m_attempt->cannot_succeed()) {
    fail_attempt(now);
    return;
  }
  std::set<MemberId> leaving;
  for (const MemberConfiguration& member : m_configuration.members) {
    if (member.leaving) {
      leaving.insert(member.id);
    }
  }
  m_promotion_target = m_attempt->choose_new_primary(leaving);
  if (!m_promotion_target.has_value()) {
    return;
  }
  m_promote_sent_at = now;
  m_attempt_deadline = now + m_timings.promote_timeout;
  m_actions.emplace_back(SendPromote{*m_promotion_target, m_attempt->term()});
  fire_event(GroupEvent::kMajorityGranted, now);
}

void DatabaseGroup::fail_attempt(TimePoint now) {
  const Duration delay = m_timings.retry_delay_min * (1U << std::min(m_failed_attempts, kMaxDoublings));
  ++m_failed_attempts;
  fire_event(GroupEvent::kAttemptFailed, now);
  enter_waiting(now + std::min(delay, m_timings.retry_delay_max), now);
}

void DatabaseGroup::send_follow_if_needed(const MemberId& member, TimePoint now) {
  if (state() != GroupState::kLed || m_primary->member == member) {
    return;
  }
  const MemberView* const view = m_monitor.find(member);
  const MemberView* const primary = m_monitor.find(m_primary->member);
  if (view == nullptr || primary == nullptr || !m_monitor.is_responsive(member, now)) {
    return;
  }
  const bool is_leading = primary->status.is_primary && primary->status.raised_term == m_primary->term;
  if (is_leading && needs_follow(view->status, primary->status) &&
      m_follow_order_limiter.try_send(member, m_primary->term, now)) {
    m_actions.emplace_back(SendFollow{member, m_primary->term, m_primary->member});
  }
}

void DatabaseGroup::start_probes(TimePoint now) {
  for (const MemberId& member : member_ids()) {
    if (!m_monitor.is_due(member, m_confirmations.next_probe_at(member), now)) {
      continue;
    }
    m_actions.emplace_back(m_monitor.start_probe(member, now));
    m_confirmations.on_probe_sent(member);
  }
}

std::optional<TimePoint> DatabaseGroup::next_state_wakeup() const {
  switch (state()) {
    case GroupState::kDiscovering:
    case GroupState::kLed:
      return std::nullopt;
    case GroupState::kAsking:
      return m_suspicion_reply_deadline.value_or(m_next_suspicion_query_at);
    case GroupState::kWaiting:
      return m_attempt_at.value_or(m_last_event);
    case GroupState::kRaising:
    case GroupState::kPromoting:
      return m_attempt_deadline;
  }
  return std::nullopt;
}

}  // namespace teaselrudder
