#include "servers/failover/primary_replacement.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/chart/compiled_charts.h"

namespace teaselrudder {

namespace {

/// Delay before a promotion that the platform refused is ordered again, and between two requests for a higher token.
constexpr Duration kRefusalRetryDelay = std::chrono::milliseconds(150);
/// Time for the old primary to step down. After it the replicas are stopped even if it has not answered.
constexpr Duration kStepDownTime = std::chrono::milliseconds(400);
/// Time after which a replacement gives up if the old primary answers again and some replica does not. The old primary
/// then keeps its role.
constexpr Duration kReturnedPrimaryWait = std::chrono::milliseconds(500);

const std::vector<std::string>& state_names() {
  static const std::vector<std::string> names = {"watching", "surveying", "stepping_down",
                                                 "stopping", "promoting", "verifying"};
  return names;
}

const std::vector<std::string>& event_names() {
  static const std::vector<std::string> names = {"replacement_due",    "surveyed", "stepped_down", "all_stopped",
                                                 "promotion_answered", "leads",    "given_up"};
  return names;
}

}  // namespace

std::string_view to_string(ReplacementReason reason) {
  switch (reason) {
    case ReplacementReason::kLeaving:
      return "primary is leaving";
    case ReplacementReason::kStoppedReplica:
      return "an earlier replacement left a replica stopped";
    case ReplacementReason::kStalledCommits:
      return "commits are not acknowledged";
    case ReplacementReason::kSilent:
      return "primary does not answer";
    case ReplacementReason::kNoPrimary:
      return "no member is known to be the primary";
  }
  return "primary does not answer";
}

tl::expected<std::shared_ptr<const StateChart>, std::string> load_replacement_chart() {
  auto chart =
      StateChart::load("primary_replacement", compiled_chart("primary_replacement"), state_names(), event_names());
  if (!chart) {
    return tl::unexpected(chart.error());
  }
  return std::make_shared<const StateChart>(std::move(*chart));
}

PrimaryReplacement::PrimaryReplacement(GroupId group, std::shared_ptr<const StateChart> chart,
                                       ReplacementServices services)
    : m_group(std::move(group)),
      m_chart(std::move(chart)),
      m_services(std::move(services)),
      m_state(m_chart->initial()) {}

void PrimaryReplacement::fire(ReplacementEvent event, const std::string& cause, TimePoint now) {
  const ChartState next = m_chart->next(m_state, ChartEvent(static_cast<std::size_t>(event)));
  if (next == m_state) {
    return;
  }
  m_services.log.log_state_change("replacement",
                                  {{"group", m_group.value()},
                                   {"from", m_chart->state_name(m_state)},
                                   {"to", m_chart->state_name(next)},
                                   {"cause", cause},
                                   {"term", std::to_string(m_term.value())},
                                   {"old_primary", m_old_primary.has_value() ? m_old_primary->value() : "none"},
                                   {"candidate", m_candidate.has_value() ? m_candidate->value() : "none"},
                                   {"age_ms", std::to_string(to_milliseconds(now - m_began_at))}});
  m_state = next;
  m_state_entered_at = now;
  m_command_sent_at.clear();
}

bool PrimaryReplacement::is_planned() const {
  return m_reason == ReplacementReason::kLeaving || m_reason == ReplacementReason::kStoppedReplica;
}

void PrimaryReplacement::begin(ReplacementReason reason, const std::optional<GroupLeader>& leader, TimePoint now) {
  if (is_running() || now < m_earliest_begin) {
    return;
  }
  m_reason = reason;
  m_leader = leader;
  m_began_at = now;
  if (!m_first_begun_at.has_value() || now > m_earliest_begin + kMaxPauseBetweenAttempts) {
    m_first_begun_at = now;
  }
  m_term = Term(0);
  m_old_primary.reset();
  m_candidate.reset();
  m_reports.clear();
  m_stopped.clear();
  m_step_down_answered = false;
  m_final_position.reset();
  m_primary_answers = false;
  m_promotion_sent = false;
  m_services.counters.count(is_planned() ? "replacements_planned" : "replacements_for_loss");
  fire(ReplacementEvent::kReplacementDue, std::string(to_string(reason)), now);
}

bool PrimaryReplacement::is_replica(const UpstreamGroup& group, const MemberId& member) const {
  return group.members().contains(member) && m_old_primary != member;
}

std::size_t PrimaryReplacement::count_replicas(const UpstreamGroup& group) const {
  return static_cast<std::size_t>(std::count_if(group.members().begin(), group.members().end(),
                                                [&](const auto& member) { return is_replica(group, member.first); }));
}

bool PrimaryReplacement::knows_all_replicas(const UpstreamGroup& group) const {
  return m_input.members_current || count_replicas(group) + 1 >= group.largest_size();
}

void PrimaryReplacement::send_command(const UpstreamGroup& group, const MemberId& member, MemberCommandKind command,
                                      TimePoint now) {
  const UpstreamMember* const known = group.find(member);
  const auto last_sent = m_command_sent_at.find(member);
  if (known == nullptr || (last_sent != m_command_sent_at.end() && now < last_sent->second + kCommandInterval)) {
    return;
  }
  if (m_services.links.command(m_group, known->entry, command, m_term, now)) {
    m_command_sent_at[member] = now;
  }
}

void PrimaryReplacement::on_tick(const UpstreamGroup& group, const ReplacementInput& input, TimePoint now) {
  m_input = input;
  switch (state()) {
    case ReplacementState::kWatching:
      return;
    case ReplacementState::kSurveying:
      advance_survey(group, now);
      return;
    case ReplacementState::kSteppingDown:
      advance_step_down(group, now);
      return;
    case ReplacementState::kStopping:
      advance_stop(group, now);
      return;
    case ReplacementState::kPromoting:
      advance_promotion(group, now);
      return;
    case ReplacementState::kVerifying:
      advance_verification(group, now);
      return;
  }
}

bool PrimaryReplacement::waits_for_token(TimePoint now) {
  const std::optional<FencingToken> unanswered = m_services.orders.highest_token_except(MemberId(), now);
  if (!m_services.tokens_are_checked || !unanswered.has_value() || *unanswered < m_input.token) {
    return false;
  }
  if (now >= m_next_promotion) {
    m_services.renew_token();
    m_next_promotion = now + kRefusalRetryDelay;
  }
  restart_survey(now);
  return true;
}

void PrimaryReplacement::restart_survey(TimePoint now) {
  m_state_entered_at = now;
  m_reports.clear();
}

bool PrimaryReplacement::awaits_former_promotion() const {
  return state() == ReplacementState::kSurveying &&
         std::any_of(m_reports.begin(), m_reports.end(),
                     [this](const auto& report) { return is_stopped_by_former_holder(report.second); });
}

bool PrimaryReplacement::waits_for_former_promotion(TimePoint now) {
  if (!awaits_former_promotion() || now >= m_input.duty_began + kVerifyTimeout) {
    return false;
  }
  restart_survey(now);
  return true;
}

void PrimaryReplacement::advance_survey(const UpstreamGroup& group, TimePoint now) {
  // If the unanswered promotion order were carried out now, the replicas would receive again, and the positions they
  // reported would be outdated. With a higher token the platform rejects the old order.
  if (waits_for_token(now)) {
    return;
  }
  m_old_primary = m_leader.has_value() ? std::optional<MemberId>(m_leader->member) : std::nullopt;
  const Term known_term = m_leader.has_value() ? m_leader->term : group.term();
  bool complete = true;
  for (const auto& [id, member] : group.members()) {
    if (m_reports.contains(id)) {
      continue;
    }
    // The survey also waits for the primary, unless it is being replaced because it is silent: a primary that answers
    // has to step down before the replicas stop, and its position decides which replica may be promoted.
    complete = complete && !is_replica(group, id) && m_reason == ReplacementReason::kSilent;
    send_command(group, id, MemberCommandKind::kReportStatus, now);
  }
  if (!complete && now < m_state_entered_at + kSurveyTimeout) {
    return;
  }
  if (waits_for_former_promotion(now)) {
    return;
  }
  if (const auto report = m_old_primary.has_value() ? m_reports.find(*m_old_primary) : m_reports.end();
      report != m_reports.end() && !report->second.is_primary) {
    // It is no longer the primary, so it is treated as a replica. It may be the one with the complete log.
    m_old_primary.reset();
  }
  Term newest = known_term;
  m_current_term = known_term;
  for (const auto& [id, report] : m_reports) {
    m_current_term = std::max(m_current_term, report.term);
    newest = std::max({newest, report.term, report.stopped_below});
    if (report.is_primary && m_old_primary != id && report.term > known_term) {
      m_first_begun_at.reset();
      m_services.on_leader(m_group, {id, report.term});
      fire(ReplacementEvent::kLeads, "another member is already the primary", now);
      return;
    }
  }
  if (m_reports.empty()) {
    give_up(group, "no member answered the survey", now);
    return;
  }
  m_term = Term(newest.value() + 1);
  m_own_terms.insert(m_term);
  if (m_old_primary.has_value() && m_reports.contains(*m_old_primary)) {
    const bool has_candidate = std::any_of(m_reports.begin(), m_reports.end(), [&](const auto& report) {
      return is_replica(group, report.first) && holds_whole_log(group, report.second.received);
    });
    if (!has_candidate || !knows_all_replicas(group)) {
      // The primary keeps its role. If it stepped down, there would be no member to replace it.
      give_up(
          group,
          has_candidate ? "list of members is outdated, so a replica may be unknown" : "no replica holds the whole log",
          now);
      return;
    }
  }
  fire(ReplacementEvent::kSurveyed, is_planned() ? "planned" : "primary is lost", now);
  advance_step_down(group, now);
}

void PrimaryReplacement::advance_step_down(const UpstreamGroup& group, TimePoint now) {
  const bool answers = m_old_primary.has_value() && m_reports.contains(*m_old_primary);
  if (answers && !m_step_down_answered && now < m_state_entered_at + kStepDownTime) {
    send_command(group, *m_old_primary, MemberCommandKind::kStepDown, now);
    return;
  }
  if (m_final_position.has_value() && !is_received(group, *m_final_position) &&
      now < m_state_entered_at + kStepDownTime) {
    // The last commits are still being replicated. If the replicas stopped now, none would receive them, and none could
    // be promoted.
    for (const auto& [id, member] : group.members()) {
      if (is_replica(group, id)) {
        send_command(group, id, MemberCommandKind::kReportStatus, now);
      }
    }
    return;
  }
  fire(ReplacementEvent::kSteppedDown, answers ? "old primary answered" : "old primary does not answer", now);
  advance_stop(group, now);
}

bool PrimaryReplacement::acknowledges_nothing() const {
  return m_final_position.has_value() && m_input.hosts_confirmed;
}

bool PrimaryReplacement::is_stopped(const MemberId& member) const {
  const auto stopped = m_stopped.find(member);
  return stopped != m_stopped.end() && (acknowledges_nothing() || stopped->second.sent_at >= m_input.commits_end_at);
}

bool PrimaryReplacement::is_received(const UpstreamGroup& group, const LogPoint& position) const {
  return std::any_of(m_reports.begin(), m_reports.end(), [&](const auto& report) {
    return is_replica(group, report.first) && report.second.received >= position;
  });
}

void PrimaryReplacement::advance_stop(const UpstreamGroup& group, TimePoint now) {
  bool complete = true;
  for (const auto& [id, member] : group.members()) {
    if (!is_replica(group, id)) {
      continue;
    }
    if (!is_stopped(id)) {
      complete = false;
      // A primary of an earlier term that has not noticed its replacement becomes a replica first.
      const auto report = m_reports.find(id);
      const bool claims_to_lead = report != m_reports.end() && report->second.is_primary;
      send_command(group, id, claims_to_lead ? MemberCommandKind::kStepDown : MemberCommandKind::kStopReceiving, now);
    }
  }
  if (count_replicas(group) == 0) {
    give_up(group, "group has no replica", now);
    return;
  }
  complete = complete && knows_all_replicas(group);
  if (complete ||
      (!group.configuration().synchronous && !m_stopped.empty() && now >= m_state_entered_at + kSurveyTimeout)) {
    const bool is_confirmed = m_input.hosts_confirmed || now >= m_input.commits_end_at + kConfirmationTimeout;
    if (!is_confirmed) {
      return;
    }
    choose_candidate(group, now);
    const bool awaits_acknowledged =
        group.configuration().synchronous && now < *m_first_begun_at + kMaxWaitForAcknowledged;
    if (awaits_acknowledged && m_stopped.at(*m_candidate).received < group.acknowledged()) {
      give_up(group, "no replica holds the acknowledged commit " + to_text(group.acknowledged()), now);
      return;
    }
    if (!holds_whole_log(group, m_stopped.at(*m_candidate).received)) {
      give_up(group, "no replica holds the whole log", now);
      return;
    }
    fire(ReplacementEvent::kAllStopped, "highest position " + to_text(m_stopped.at(*m_candidate).received), now);
    return;
  }
  if (m_old_primary.has_value() && !is_planned()) {
    send_command(group, *m_old_primary, MemberCommandKind::kReportStatus, now);
  }
  if (m_primary_answers && now >= m_state_entered_at + kReturnedPrimaryWait) {
    give_up(group, "old primary answers again and a replica does not", now);
  } else if (now >= m_state_entered_at + kStopTimeout) {
    give_up(group, "a replica cannot be reached", now);
  }
}

bool PrimaryReplacement::holds_log_of_former_leader(const LogPoint& received) const {
  const auto former = m_leader.has_value() ? m_stopped.find(m_leader->member) : m_stopped.end();
  return former != m_stopped.end() && m_current_term <= m_leader->term && received >= former->second.received;
}

bool PrimaryReplacement::has_stopped_all_members(const UpstreamGroup& group) const {
  const bool has_stopped_listed = std::all_of(group.members().begin(), group.members().end(),
                                              [this](const auto& member) { return m_stopped.contains(member.first); });
  const bool lacks_nobody = group.min_promotion_position().has_value() || m_stopped.size() >= group.largest_size();
  return has_stopped_listed && lacks_nobody && !m_stopped.empty();
}

bool PrimaryReplacement::holds_whole_log(const UpstreamGroup& group, const LogPoint& received) const {
  if (holds_log_of_former_leader(received) || has_stopped_all_members(group)) {
    return true;
  }
  if (m_final_position.has_value()) {
    // The primary has stepped down, so its final position is known. A replica that this host learned of late may have
    // received, and thus let the primary acknowledge, commits that the others lack.
    return received >= *m_final_position;
  }
  const auto old_primary = m_old_primary.has_value() ? m_reports.find(*m_old_primary) : m_reports.end();
  if (old_primary != m_reports.end() && received >= old_primary->second.received) {
    return true;
  }
  return group.min_promotion_position().has_value() && received >= *group.min_promotion_position() &&
         received.term >= m_current_term;
}

void PrimaryReplacement::choose_candidate(const UpstreamGroup& group, TimePoint now) {
  const auto leaves_at = [&group](const MemberId& member) {
    const UpstreamMember* const known = group.find(member);
    return known == nullptr ? TimePoint() : known->leaving_since.value_or(TimePoint::max());
  };
  const auto is_ordered = [this, now](const MemberId& member) { return m_services.orders.may_promote(member, now); };
  const auto better = [&leaves_at, &is_ordered](const auto& left, const auto& right) {
    if (left.second.received != right.second.received) {
      return left.second.received < right.second.received;
    }
    if (is_ordered(left.first) != is_ordered(right.first)) {
      // The earlier order for this member may still take effect, so another member could not keep its role.
      return is_ordered(right.first);
    }
    return leaves_at(left.first) < leaves_at(right.first);
  };
  m_candidate = std::max_element(m_stopped.begin(), m_stopped.end(), better)->first;
}

bool PrimaryReplacement::conflicts_with_unanswered(const UpstreamGroup& group, TimePoint now) const {
  if (m_services.tokens_are_checked) {
    return !m_services.orders.is_fenced_by(m_input.token, *m_candidate, now);
  }
  // No token stops the earlier order. It has no effect if its member has left the group.
  const std::vector<MemberId> ordered = m_services.orders.outstanding_except(*m_candidate, now);
  return std::any_of(ordered.begin(), ordered.end(),
                     [&group](const MemberId& member) { return group.find(member) != nullptr; });
}

void PrimaryReplacement::advance_promotion(const UpstreamGroup& group, TimePoint now) {
  if (m_services.orders.awaited().has_value() || now < m_next_promotion) {
    return;
  }
  if (!acknowledges_nothing() && now < m_input.commits_end_at) {
    return;
  }
  if (conflicts_with_unanswered(group, now)) {
    if (m_services.tokens_are_checked) {
      m_services.renew_token();
    }
    m_next_promotion = now + kRefusalRetryDelay;
    return;
  }
  m_promotion_sent = true;
  m_sent_token = m_input.token;
  m_services.counters.count("promotions_ordered");
  log_order(group, now);
  m_services.orders.on_ordered(*m_candidate, m_sent_token);
  m_services.promote(m_group, *m_candidate, m_sent_token);
}

void PrimaryReplacement::log_order(const UpstreamGroup& group, TimePoint now) const {
  std::string stopped;
  for (const auto& [member, replica] : m_stopped) {
    stopped += (stopped.empty() ? "" : ",") + member.value() + ":" + to_text(replica.received) + ":" +
               std::to_string(to_milliseconds(now - replica.sent_at)) + "ms";
  }
  std::string listed;
  for (const auto& [member, known] : group.members()) {
    const std::string_view state = known.missing_since.has_value()   ? ":missing"
                                   : known.leaving_since.has_value() ? ":leaving"
                                                                     : "";
    listed += (listed.empty() ? "" : ",") + member.value() + std::string(state);
  }
  m_services.log.log_state_change(
      "promotion_ordered", {{"group", m_group.value()},
                            {"member", m_candidate->value()},
                            {"token", std::to_string(m_sent_token.value())},
                            {"stop_term", std::to_string(m_term.value())},
                            {"stopped", stopped},
                            {"listed", listed},
                            {"acknowledged", to_text(group.acknowledged())},
                            {"hosts_confirmed", m_input.hosts_confirmed ? "yes" : "no"},
                            {"list_is_current", m_input.members_current ? "yes" : "no"},
                            {"old_primary", m_old_primary.has_value() ? m_old_primary->value() : "none"},
                            {"commits_end_in_ms", std::to_string(to_milliseconds(m_input.commits_end_at - now))}});
}

void PrimaryReplacement::advance_verification(const UpstreamGroup& group, TimePoint now) {
  send_command(group, *m_candidate, MemberCommandKind::kReportStatus, now);
  if (now < m_state_entered_at + kVerifyTimeout) {
    return;
  }
  if (group.find(*m_candidate) == nullptr) {
    give_up(group, "candidate has left the group", now);
    return;
  }
  m_promotion_sent = false;
  fire(ReplacementEvent::kAllStopped, "promotion has had no effect yet; ordering it again", now);
}

void PrimaryReplacement::on_outcome(const UpstreamGroup& group, const ControlOutcome& outcome, TimePoint now) {
  if (!is_running()) {
    return;
  }
  const bool from_primary = m_old_primary == outcome.member;
  if (outcome.report.has_value()) {
    const MemberReport& report = *outcome.report;
    m_reports[outcome.member] = report;
    const bool leads_anew = report.is_primary && !from_primary && report.term >= m_term && m_term != Term(0);
    if (leads_anew || (report.is_primary && m_candidate == outcome.member)) {
      m_first_begun_at.reset();
      m_services.on_leader(m_group, {outcome.member, report.term});
      m_services.counters.count("replacements_done");
      resume_followers(group, outcome.member, now);
      fire(ReplacementEvent::kLeads, "member reports that it is the primary", now);
      return;
    }
    if (state() == ReplacementState::kStopping && outcome.command == MemberCommandKind::kStopReceiving &&
        outcome.sent_at >= m_state_entered_at) {
      m_stopped[outcome.member] = {report.received, outcome.sent_at};
    }
    if (state() == ReplacementState::kStopping && from_primary && report.is_primary) {
      m_primary_answers = true;
      m_final_position.reset();
    }
  }
  if (outcome.command == MemberCommandKind::kStepDown && from_primary && outcome.sent_at >= m_began_at) {
    m_step_down_answered = true;
    if (outcome.report.has_value() && !outcome.report->is_primary) {
      m_final_position = outcome.report->received;
    }
  }
  if (state() == ReplacementState::kSurveying) {
    advance_survey(group, now);
  } else if (state() == ReplacementState::kSteppingDown) {
    advance_step_down(group, now);
  } else if (state() == ReplacementState::kStopping) {
    advance_stop(group, now);
  }
}

void PrimaryReplacement::on_promotion(const MemberId& member, PromotionOutcome outcome, TimePoint now) {
  if (state() != ReplacementState::kPromoting || m_candidate != member || !m_promotion_sent) {
    return;
  }
  switch (outcome) {
    case PromotionOutcome::kUnknown:
    case PromotionOutcome::kDone:
      fire(ReplacementEvent::kPromotionAnswered, outcome == PromotionOutcome::kDone ? "done" : "no answer", now);
      return;
    case PromotionOutcome::kRefused:
      m_services.counters.count("promotions_refused");
      m_promotion_sent = false;
      m_next_promotion = now + kRefusalRetryDelay;
      return;
    case PromotionOutcome::kRejected:
      // The token is outdated or the candidate is not running. Either case needs a new token and a new survey.
      m_services.counters.count("promotions_rejected");
      m_token_rejected = true;
      m_earliest_begin = now + kGiveUpBackoff;
      fire(ReplacementEvent::kGivenUp, "platform rejected the promotion", now);
      return;
  }
}

void PrimaryReplacement::resume_followers(const UpstreamGroup& group, const MemberId& leader, TimePoint now) {
  for (const auto& [member, stopped] : m_stopped) {
    const UpstreamMember* const known = group.find(member);
    if (member != leader && known != nullptr) {
      m_services.links.command(m_group, known->entry, MemberCommandKind::kResumeReceiving, m_term, now);
    }
  }
}

void PrimaryReplacement::resume_replicas(const UpstreamGroup& group, TimePoint now) {
  for (const auto& [member, report] : m_reports) {
    if (is_stopped_by_former_holder(report) && m_services.orders.former_orders_may_act(now)) {
      continue;
    }
    const bool is_stopped = m_stopped.contains(member) || report.stopped_below > Term(0);
    if (const UpstreamMember* const known = group.find(member); known != nullptr && is_stopped) {
      m_services.links.command(m_group, known->entry, MemberCommandKind::kResumeReceiving, m_term, now);
    }
  }
}

void PrimaryReplacement::give_up(const UpstreamGroup& group, const std::string& cause, TimePoint now) {
  m_services.counters.count("replacements_given_up");
  resume_replicas(group, now);
  m_earliest_begin = now + kGiveUpBackoff;
  fire(ReplacementEvent::kGivenUp, cause, now);
}

}  // namespace teaselrudder
