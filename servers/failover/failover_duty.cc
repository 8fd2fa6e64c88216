#include "servers/failover/failover_duty.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

namespace {

/// Minimum number of failed probes for a primary to count as lost.
constexpr std::uint32_t kFailedProbes = 2;
/// Time after the start of the process in which no primary is replaced, so that reports of the other hosts can arrive
/// first.
constexpr Duration kStartupDelay = std::chrono::milliseconds(1000);

constexpr EvidenceLimits kEvidenceLimits{FailoverDuty::kSuspicionTimeout, FailoverDuty::kUnansweredTimeout,
                                         FailoverDuty::kMaxAgeOfAnswerElsewhere, FailoverDuty::kCommitStallTimeout};

/// Returns true if some replica is not leaving, or started to leave after `primary`. Replacing the primary by any other
/// replica would only have to be repeated.
bool has_replica_that_stays_longer(const UpstreamGroup& group, const UpstreamMember& primary) {
  return std::any_of(group.members().begin(), group.members().end(), [&primary](const auto& known) {
    const UpstreamMember& member = known.second;
    return !member.missing_since.has_value() &&
           (!member.leaving_since.has_value() || member.leaving_since > primary.leaving_since);
  });
}

}  // namespace

FailoverDuty::FailoverDuty(FailoverServices services, std::shared_ptr<const StateChart> chart)
    : m_services(std::move(services)),
      m_chart(std::move(chart)),
      m_links(m_services.links, m_services.read_report,
              [this](const ControlOutcome& outcome, TimePoint now) { on_outcome(outcome, now); }) {}

FailoverDuty::GroupMonitor& FailoverDuty::monitor_of(const GroupId& id, FencingToken token, TimePoint now) {
  const auto found = m_monitors.find(id);
  if (found != m_monitors.end()) {
    return found->second;
  }
  PromotionOrders& orders = m_orders.try_emplace(id, m_services.tokens_are_checked).first->second;
  orders.on_duty_began(token, now);
  ReplacementServices services{m_links,
                               orders,
                               [this](const GroupId& group, const MemberId& member, FencingToken with) {
                                 m_services.promotions.promote(group, member, m_services.self, with, *this);
                               },
                               m_services.renew_token,
                               [this](const GroupId& group, const GroupLeader& leader) {
                                 on_leader_found(m_groups->at(group), m_monitors.at(group), leader, m_now);
                               },
                               m_services.counters,
                               m_services.log,
                               m_services.tokens_are_checked};
  GroupMonitor monitor(std::make_unique<PrimaryReplacement>(id, m_chart, std::move(services)), *m_duty_began);
  monitor.answered_at = now;
  return m_monitors.emplace(id, std::move(monitor)).first->second;
}

void FailoverDuty::on_tick(const std::map<GroupId, UpstreamGroup>& groups, const EvidenceBoard& board,
                           std::optional<FencingToken> token, const FleetView& fleet, TimePoint now) {
  m_groups = &groups;
  m_first_tick = m_first_tick.value_or(now);
  m_now = now;
  m_links.on_tick(now);
  const bool checks_all = now >= m_next_tick || !m_duty_began.has_value();
  if (checks_all) {
    m_next_tick = now + kTickInterval;
    m_fences_in_tick = 0;
  }
  if (!token.has_value()) {
    end_duty();
    return;
  }
  m_token = *token;
  if (!m_duty_began.has_value()) {
    m_duty_began = now;
    m_services.log.log_state_change("duty_begins", {{"token", std::to_string(token->value())}});
  }
  for (const auto& [id, group] : groups) {
    GroupMonitor& monitor = monitor_of(id, *token, now);
    if (checks_all || is_changing(monitor)) {
      check_group(group, monitor, board, {*token, fleet, checks_all}, now);
    }
  }
  if (!checks_all) {
    return;
  }
  probe_groups(groups, now);
  // Connections to current members stay open. During a failover a member may have reached its connection limit.
  m_links.close_idle([&groups](const MemberId& member) {
    return std::any_of(groups.begin(), groups.end(),
                       [&member](const auto& group) { return group.second.members().contains(member); });
  });
}

void FailoverDuty::check_group(const UpstreamGroup& group, GroupMonitor& monitor, const EvidenceBoard& board,
                               const GroupInput& input, TimePoint now) {
  announce_leader(group, monitor, now);
  update_leader(group, monitor, now);
  std::optional<MemberId> primary;
  if (monitor.leader.has_value()) {
    primary = monitor.leader->member;
  }
  if (input.sums_up_reports || monitor.evidence.primary() != primary) {
    monitor.evidence = FleetEvidence(group, std::move(primary), board, kEvidenceLimits, now);
  }
  // The replacement gets its input before it can begin, because the first answers may arrive right after.
  const bool hosts_confirmed =
      monitor.revoked.has_value() && board.all_dropped_leases(group.id(), *monitor.revoked, monitor.revoked_at, now);
  monitor.replacement->on_tick(
      group, {input.token, input.fleet.members_current, commits_end_at(monitor, now), hosts_confirmed, *m_duty_began},
      now);
  update_revocation(group, monitor, now);
  if (!monitor.replacement->is_running()) {
    check_primary(group, monitor, board, input.fleet, now);
  }
  fence_orders(group, monitor, input.token, now);
  grant_lease(group, monitor, now);
  send_step_down(group, monitor, now);
}

bool FailoverDuty::is_changing(const GroupMonitor& monitor) {
  return monitor.replacement->is_running() || monitor.revoked.has_value() || monitor.leases.unannounced().has_value();
}

void FailoverDuty::end_duty() {
  if (!m_duty_began.has_value()) {
    return;
  }
  m_duty_began.reset();
  m_services.log.log_state_change("duty_ends", {});
  m_monitors.clear();
  m_links.close_idle([](const MemberId&) { return false; });
}

bool FailoverDuty::take_token_rejected() {
  bool rejected = false;
  for (auto& [id, monitor] : m_monitors) {
    rejected = monitor.replacement->take_token_rejected() || rejected;
  }
  return rejected;
}

std::optional<TimePoint> FailoverDuty::granted_until(const GroupId& group) const {
  const auto monitor = m_monitors.find(group);
  return monitor == m_monitors.end() ? std::nullopt : monitor->second.leases.granted_until();
}

void FailoverDuty::on_leader_found(const UpstreamGroup& group, GroupMonitor& monitor, const GroupLeader& leader,
                                   TimePoint now) {
  monitor.leases.on_leader_found(leader, group.term());
  update_leader(group, monitor, now);
  announce_leader(group, monitor, now);
}

void FailoverDuty::announce_leader(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now) {
  // Where a replaced primary may go on, only the record tells a later holder of the duty that it was replaced.
  // Elsewhere the former primary itself does.
  if (!m_services.tokens_are_checked && monitor.leases.is_announcement_due(now) &&
      !m_services.listener.ensure_leader_recorded(group.id(), *monitor.leases.unannounced(), now)) {
    return;
  }
  if (const auto& next = monitor.leases.unannounced();
      next.has_value() && m_orders.at(group.id()).may_promote_other_than(next->member, now)) {
    return;
  }
  if (const auto leader = monitor.leases.take_leader(group.term(), now); leader.has_value()) {
    m_services.log.log_state_change("leader_announced", {{"group", group.id().value()},
                                                         {"member", leader->member.value()},
                                                         {"term", std::to_string(leader->term.value())}});
    m_services.listener.on_leader_announced(group.id(), *leader, now);
  }
}

void FailoverDuty::update_leader(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now) {
  std::optional<GroupLeader> leader = monitor.leases.unannounced();
  if (!leader.has_value() && group.primary().has_value()) {
    leader = GroupLeader{*group.primary(), group.term()};
  }
  const bool same_member = leader.has_value() == monitor.leader.has_value() &&
                           (!leader.has_value() || leader->member == monitor.leader->member);
  if (!same_member) {
    if (monitor.leader.has_value() && leader.has_value()) {
      monitor.former = monitor.leader->member;
      monitor.step_down_sent_at = {};
    }
    monitor.failures = 0;
    monitor.answered_at = now;
    monitor.primary_since = now;
    monitor.leaderless_since.reset();
  }
  monitor.leader = std::move(leader);
}

void FailoverDuty::grant_lease(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now) {
  // The survey of a replacement does not disturb a primary that answers, and may find that it keeps its role.
  const bool is_disturbed = monitor.replacement->disturbs_primary();
  const std::optional<GroupLeader> announced = group.announced_leader();
  if (!announced.has_value() || is_disturbed) {
    return;
  }
  // A position that it returned as the primary of its term proves that it led then.
  const std::optional<PositionSample> newest = group.evidence().newest();
  if (newest.has_value() && newest->position.term == announced->term) {
    monitor.leases.on_leader_confirmed(*announced, newest->requested_at);
  }
  if (!is_settled(group, monitor, now) || is_suspected(monitor, now)) {
    return;
  }
  monitor.leases.grant(*announced, now);
}

void FailoverDuty::update_revocation(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now) {
  const bool disturbs = monitor.replacement->disturbs_primary();
  if (disturbs) {
    if (!monitor.revoked.has_value()) {
      const std::optional<GroupLeader>& replaced = monitor.replacement->replaced();
      monitor.revoked = replaced.has_value() ? replaced->term : group.term();
      monitor.revoked_at = now;
    }
    m_services.listener.on_leases_revoked(group.id(), *monitor.revoked, now);
  } else if (monitor.revoked.has_value()) {
    monitor.revoked.reset();
    m_services.listener.on_revocation_ended(group.id());
  }
}

TimePoint FailoverDuty::commits_end_at(const GroupMonitor& monitor, TimePoint now) {
  if (monitor.replacement->disturbs_primary()) {
    return monitor.leases.commits_end_at();
  }
  // This tick may grant another lease.
  const Duration time_to_live = PrimaryLease::kTimeToLive - PrimaryLease::kCommitMargin;
  return std::max(monitor.leases.commits_end_at(), now + time_to_live + PrimaryLeaseGrants::kClockMargin);
}

bool FailoverDuty::knows_that_replicas_receive(const UpstreamGroup& group, const GroupMonitor& monitor) {
  return std::all_of(group.members().begin(), group.members().end(), [&monitor](const auto& member) {
    return member.first == monitor.leader->member || monitor.receiving.contains(member.first);
  });
}

bool FailoverDuty::is_settled(const UpstreamGroup& group, const GroupMonitor& monitor, TimePoint now) const {
  if (!monitor.leader.has_value() || monitor.stopped_replica || monitor.replacement->awaits_former_promotion()) {
    return false;
  }
  const PromotionOrders& orders = m_orders.at(group.id());
  // Without fences, a holder of the duty cannot tell whether a former one has given orders.
  const bool former_orders = m_services.tokens_are_checked &&
                             (orders.former_orders_may_act(now) || (orders.former_orders_may_be_accepted(now) &&
                                                                    !knows_that_replicas_receive(group, monitor)));
  return !former_orders && !orders.may_promote_other_than(monitor.leader->member, now);
}

void FailoverDuty::fence_orders(const UpstreamGroup& group, GroupMonitor& monitor, FencingToken token, TimePoint now) {
  PromotionOrders& orders = m_orders.at(group.id());
  if (!m_services.tokens_are_checked || monitor.replacement->is_running() || orders.awaited().has_value() ||
      m_fences_in_tick >= kFencesPerTick || now < monitor.next_fence_at || !monitor.leader.has_value() ||
      !monitor.leases.is_confirmed(*monitor.leader)) {
    return;
  }
  const MemberId& member = monitor.leader->member;
  if (!orders.former_orders_may_act(now) && !orders.highest_token_except(member, now).has_value()) {
    return;
  }
  monitor.next_fence_at = now + kFenceInterval;
  if (monitor.rejected_token == token || !orders.is_fenced_by(token, member, now)) {
    m_services.renew_token();
    return;
  }
  ++m_fences_in_tick;
  m_services.counters.count("promotions_ordered_for_fencing");
  m_services.log.log_state_change(
      "fence_ordered",
      {{"group", group.id().value()}, {"member", member.value()}, {"token", std::to_string(token.value())}});
  orders.on_ordered(member, token);
  m_services.promotions.promote(group.id(), member, m_services.self, token, *this);
}

void FailoverDuty::note_role(GroupMonitor& monitor, const ControlOutcome& outcome) {
  if (!outcome.report.has_value()) {
    return;
  }
  if (outcome.report->stopped_below == Term(0)) {
    monitor.receiving.insert(outcome.member);
  } else {
    monitor.receiving.erase(outcome.member);
  }
  if (outcome.report->is_primary) {
    monitor.leases.on_leader_confirmed({outcome.member, outcome.report->term}, outcome.sent_at);
  } else {
    monitor.leases.on_leader_denied(outcome.member, outcome.sent_at);
  }
}

void FailoverDuty::send_step_down(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now) {
  if (!monitor.former.has_value() || monitor.replacement->is_running() ||
      now < monitor.step_down_sent_at + kStepDownInterval) {
    return;
  }
  const UpstreamMember* const former = group.find(*monitor.former);
  if (former == nullptr || !monitor.leader.has_value() || monitor.leader->member == *monitor.former) {
    monitor.former.reset();
    return;
  }
  monitor.step_down_sent_at = now;
  m_links.command(group.id(), former->entry, MemberCommandKind::kStepDown, monitor.leader->term, now);
}

void FailoverDuty::check_primary(const UpstreamGroup& group, GroupMonitor& monitor, const EvidenceBoard& board,
                                 const FleetView& fleet, TimePoint now) {
  if (group.members().empty()) {
    return;
  }
  const UpstreamMember* const primary = monitor.leader.has_value() ? group.find(monitor.leader->member) : nullptr;
  if (primary == nullptr && !monitor.leaderless_since.has_value()) {
    monitor.leaderless_since = now;
  }
  note_answers(group, monitor, now);
  if (now < *m_first_tick + kStartupDelay) {
    return;
  }
  PrimaryReplacement& replacement = *monitor.replacement;
  if (monitor.leaderless_since.has_value() && *monitor.leaderless_since + kNoPrimaryTimeout <= now) {
    monitor.leaderless_since.reset();
    replacement.begin(ReplacementReason::kNoPrimary, monitor.leader, now);
  } else if (primary == nullptr) {
    return;
  } else if (primary->leaving_since.has_value() && has_replica_that_stays_longer(group, *primary)) {
    replacement.begin(ReplacementReason::kLeaving, monitor.leader, now);
  } else if (monitor.stopped_replica) {
    monitor.stopped_replica = false;
    replacement.begin(ReplacementReason::kStoppedReplica, monitor.leader, now);
  } else if (fleet.may_judge_silence) {
    check_silence(monitor, board, fleet.fleet_size, now);
  }
}

void FailoverDuty::check_silence(GroupMonitor& monitor, const EvidenceBoard& board, std::size_t fleet_size,
                                 TimePoint now) {
  if (is_silent_for_majority(monitor.evidence, board, now) || is_lost(monitor, board, fleet_size, now)) {
    monitor.replacement->begin(ReplacementReason::kSilent, monitor.leader, now);
  } else if (now >= monitor.primary_since + kCommitStallTimeout && is_stalled(monitor.evidence)) {
    monitor.replacement->begin(ReplacementReason::kStalledCommits, monitor.leader, now);
  }
}

void FailoverDuty::note_answers(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now) {
  const PrimaryEvidence own = group.report(now);
  if (monitor.leader.has_value() && own.primary == monitor.leader->member && own.last_answer_age.has_value() &&
      *own.last_answer_age < kProbeAfter) {
    monitor.answered_at = std::max(monitor.answered_at, now - *own.last_answer_age);
    monitor.failures = 0;
  }
}

void FailoverDuty::probe_groups(const std::map<GroupId, UpstreamGroup>& groups, TimePoint now) {
  const std::chrono::duration<double> elapsed = now - std::exchange(m_probes_refilled_at, now);
  m_probe_tokens = std::min(kProbeBurst, m_probe_tokens + elapsed.count() * kProbesPerSecond);
  auto next = groups.upper_bound(m_probed_last);
  for (std::size_t count = 0; count < groups.size() && m_probe_tokens >= 1; ++count) {
    next = next == groups.end() ? groups.begin() : next;
    GroupMonitor& monitor = m_monitors.at(next->first);
    if (!monitor.replacement->is_running() && !next->second.members().empty()) {
      probe(next->second, monitor, monitor.evidence.is_doubted(), now);
    }
    m_probed_last = next->first;
    ++next;
  }
}

void FailoverDuty::send_probe(const GroupId& group, const MemberEntry& member, TimePoint now) {
  if (m_links.command(group, member, MemberCommandKind::kReportStatus, Term(0), now)) {
    --m_probe_tokens;
  }
}

void FailoverDuty::probe(const UpstreamGroup& group, GroupMonitor& monitor, bool in_doubt, TimePoint now) {
  const UpstreamMember* const primary = monitor.leader.has_value() ? group.find(monitor.leader->member) : nullptr;
  const PrimaryEvidence own = group.report(now);
  const bool answered_recently = primary != nullptr && own.primary == primary->entry.member &&
                                 own.last_answer_age.has_value() && *own.last_answer_age < kProbeAfter;
  const bool awaits_replicas = primary != nullptr && !knows_that_replicas_receive(group, monitor) &&
                               m_orders.at(group.id()).former_orders_may_be_accepted(now);
  const bool asks_all =
      primary == nullptr || ((in_doubt || awaits_replicas) && monitor.replicas_checked_at + kDoubtInterval <= now);
  const Duration interval = monitor.failures > 0 ? kTickInterval : kProbeAfter;
  // Nothing is served under a lease, or at all if the term is not known, before the primary has shown that it leads.
  const bool unconfirmed =
      primary != nullptr && !monitor.leases.unannounced().has_value() && !monitor.leases.is_confirmed(*monitor.leader);
  const bool is_due = (unconfirmed && monitor.probed_at + kDoubtInterval <= now) ||
                      (!answered_recently && monitor.probed_at + interval <= now);
  if (primary != nullptr && (asks_all || is_due)) {
    monitor.probed_at = now;
    send_probe(group.id(), primary->entry, now);
  }
  if (monitor.replicas_checked_at + kReplicaCheckInterval <= now || asks_all) {
    monitor.replicas_checked_at = now;
    for (const auto& [id, member] : group.members()) {
      if (primary == nullptr || primary->entry.member != id) {
        send_probe(group.id(), member.entry, now);
      }
    }
  }
}

void FailoverDuty::on_outcome(const ControlOutcome& outcome, TimePoint now) {
  const auto found = m_monitors.find(outcome.group);
  if (found == m_monitors.end() || m_groups == nullptr) {
    return;
  }
  GroupMonitor& monitor = found->second;
  const auto group = m_groups->find(outcome.group);
  if (group == m_groups->end()) {
    return;
  }
  m_now = now;
  note_role(monitor, outcome);
  const bool from_leader = monitor.leader.has_value() && monitor.leader->member == outcome.member;
  if (outcome.report.has_value() && monitor.former == outcome.member && !outcome.report->is_primary) {
    monitor.former.reset();
  }
  if (monitor.replacement->is_running()) {
    monitor.replacement->on_outcome(group->second, outcome, now);
    return;
  }
  if (outcome.report.has_value() && outcome.report->is_primary) {
    on_primary_report(group->second, monitor, outcome, now);
  }
  if (!from_leader) {
    if (outcome.report.has_value() && !outcome.report->is_primary && outcome.report->stopped_below > Term(0)) {
      monitor.stopped_replica = true;
    }
    return;
  }
  if (!outcome.answered) {
    ++monitor.failures;
    return;
  }
  monitor.failures = 0;
  monitor.answered_at = now;
  if (!outcome.report.has_value()) {
    return;
  }
  if (outcome.report->is_primary) {
    monitor.leaderless_since.reset();
  } else if (!monitor.leaderless_since.has_value()) {
    monitor.leaderless_since = now;
  }
}

void FailoverDuty::on_primary_report(const UpstreamGroup& group, GroupMonitor& monitor, const ControlOutcome& outcome,
                                     TimePoint now) {
  const Term known = monitor.leader.has_value() ? monitor.leader->term : Term(0);
  if (outcome.report->term < known) {
    // The member was replaced and has not noticed.
    monitor.former = outcome.member;
    return;
  }
  m_services.listener.on_primary_position(outcome.group, outcome.report->received, outcome.sent_at);
  on_leader_found(group, monitor, {outcome.member, outcome.report->term}, now);
}

void FailoverDuty::on_promotion(const GroupId& group, const MemberId& member, PromotionOutcome outcome, TimePoint now) {
  if (const auto orders = m_orders.find(group); orders != m_orders.end()) {
    orders->second.on_answered(outcome, now);
  }
  m_services.log.log_state_change(
      "promotion_answered",
      {{"group", group.value()}, {"member", member.value()}, {"outcome", std::string(to_string(outcome))}});
  const auto found = m_monitors.find(group);
  if (found == m_monitors.end()) {
    return;
  }
  m_now = now;
  GroupMonitor& monitor = found->second;
  if (outcome == PromotionOutcome::kRejected && !monitor.replacement->is_running()) {
    // The token may be outdated, and the platform counts calls that repeat it.
    monitor.rejected_token = m_token;
    monitor.next_fence_at = now + PrimaryReplacement::kGiveUpBackoff;
  }
  monitor.replacement->on_promotion(member, outcome, now);
}

bool FailoverDuty::is_lost(const GroupMonitor& monitor, const EvidenceBoard& board, std::size_t fleet_size,
                           TimePoint now) {
  if (monitor.failures < kFailedProbes || now < monitor.answered_at + kUnansweredTimeout) {
    return false;
  }
  if (board.hosts_with_fresh_report(now) == 0 && fleet_size > 1) {
    // A host that gets no reports at all is more likely to be cut off than to be the only one left, so it waits longer.
    return now >= monitor.answered_at + 3 * kUnansweredTimeout;
  }
  const std::size_t hosts_with_answer = monitor.evidence.others_with_answer();
  const std::size_t hosts_without_answer = 1 + monitor.evidence.others_without_answer();
  return hosts_with_answer == 0 ||
         (hosts_without_answer > hosts_with_answer && now >= monitor.answered_at + 2 * kUnansweredTimeout);
}

bool FailoverDuty::is_silent_for_majority(const FleetEvidence& evidence, const EvidenceBoard& board, TimePoint now) {
  // Hosts whose reports do not mention the group are not waiting for its primary.
  return !evidence.answered_within(kMaxAgeOfAnswerElsewhere) && evidence.silent_hosts() >= 2 &&
         2 * evidence.silent_hosts() > 1 + board.hosts_with_fresh_report(now);
}

bool FailoverDuty::is_suspected(const GroupMonitor& monitor, TimePoint now) {
  if (!monitor.leader.has_value()) {
    return true;
  }
  const bool answers_probes = monitor.failures == 0 && now < monitor.answered_at + kSuspicionTimeout;
  if (answers_probes) {
    return false;
  }
  return (monitor.evidence.is_awaited() || monitor.failures > 0) &&
         !monitor.evidence.answered_within(kSuspicionTimeout);
}

bool FailoverDuty::is_stalled(const FleetEvidence& evidence) {
  return !evidence.acknowledged_within(kCommitStallTimeout) && evidence.stalled_hosts() >= 2;
}

}  // namespace teaselrudder
