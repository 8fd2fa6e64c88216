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

/// Returns the evidence of this host and of the others about the member that this host considers the primary.
std::vector<PrimaryEvidence> evidence_on_primary(const UpstreamGroup& group, const EvidenceBoard& board,
                                                 TimePoint now) {
  std::vector<PrimaryEvidence> all = board.fresh_evidence(group.id(), now);
  all.push_back(group.report(now));
  std::erase_if(all, [&group](const PrimaryEvidence& evidence) { return evidence.primary != *group.primary(); });
  return all;
}

}  // namespace

FailoverDuty::FailoverDuty(FailoverServices services, std::shared_ptr<const StateChart> chart)
    : m_services(std::move(services)),
      m_chart(std::move(chart)),
      m_links(m_services.links, m_services.read_report,
              [this](const ControlOutcome& outcome, TimePoint now) { on_outcome(outcome, now); }) {}

void FailoverDuty::on_tick(const std::map<GroupId, UpstreamGroup>& groups, const EvidenceBoard& board,
                           std::optional<FencingToken> token, std::size_t fleet_size, bool members_current,
                           TimePoint now) {
  m_groups = &groups;
  m_first_tick = m_first_tick.value_or(now);
  m_now = now;
  m_next_tick = now + kTickInterval;
  m_links.on_tick(now);
  if (!token.has_value()) {
    end_duty();
    return;
  }
  if (!m_on_duty) {
    m_on_duty = true;
    m_services.log.log_state_change("duty_begins", {{"token", std::to_string(token->value())}});
  }
  for (const auto& [id, group] : groups) {
    GroupMonitor& monitor = m_monitors[id];
    if (monitor.replacement == nullptr) {
      ReplacementServices services{m_links,
                                   [this](const GroupId& group_id, const MemberId& member, FencingToken with) {
                                     m_services.promotions.promote(group_id, member, m_services.self, with, *this);
                                   },
                                   m_services.renew_token,
                                   [this](const GroupId& group_id, const MemberId& member, Term term) {
                                     m_services.listener.on_primary_found(group_id, member, term, m_now);
                                   },
                                   m_services.counters,
                                   m_services.log};
      monitor.replacement = std::make_unique<PrimaryReplacement>(id, m_chart, std::move(services));
      monitor.answered_at = now;
    }
    // The replacement gets the current token and list of members before it can begin, because the first answers may
    // arrive right after.
    monitor.replacement->on_tick(group, *token, members_current, now);
    if (!monitor.replacement->is_running()) {
      check_primary(group, monitor, board, fleet_size, now);
    }
  }
  probe_groups(groups, now);
  // Connections to current members stay open. During a failover a member may have reached its connection limit.
  m_links.close_idle([&groups](const MemberId& member) {
    return std::any_of(groups.begin(), groups.end(),
                       [&member](const auto& group) { return group.second.members().contains(member); });
  });
}

void FailoverDuty::end_duty() {
  if (!m_on_duty) {
    return;
  }
  m_on_duty = false;
  m_services.log.log_state_change("duty_ends", {});
  m_monitors.clear();
  m_links.close_idle([](const MemberId&) { return false; });
}

bool FailoverDuty::take_token_rejected() {
  bool rejected = false;
  for (auto& [id, monitor] : m_monitors) {
    rejected = (monitor.replacement != nullptr && monitor.replacement->take_token_rejected()) || rejected;
  }
  return rejected;
}

void FailoverDuty::check_primary(const UpstreamGroup& group, GroupMonitor& monitor, const EvidenceBoard& board,
                                 std::size_t fleet_size, TimePoint now) {
  if (group.members().empty()) {
    return;
  }
  if (monitor.primary != group.primary()) {
    monitor.primary = group.primary();
    monitor.failures = 0;
    monitor.answered_at = now;
    monitor.primary_since = now;
    monitor.leaderless_since.reset();
  }
  const UpstreamMember* const primary = monitor.primary.has_value() ? group.find(*monitor.primary) : nullptr;
  if (primary == nullptr && !monitor.leaderless_since.has_value()) {
    monitor.leaderless_since = now;
  }
  note_answers(group, monitor, now);
  if (now < *m_first_tick + kStartupDelay) {
    return;
  }
  if (monitor.leaderless_since.has_value() && *monitor.leaderless_since + kNoPrimaryTimeout <= now) {
    monitor.leaderless_since.reset();
    monitor.replacement->begin(ReplacementReason::kNoPrimary, now);
  } else if (primary == nullptr) {
    return;
  } else if (primary->leaving_since.has_value()) {
    monitor.replacement->begin(ReplacementReason::kLeaving, now);
  } else if (monitor.stopped_replica) {
    monitor.stopped_replica = false;
    monitor.replacement->begin(ReplacementReason::kStoppedReplica, now);
  } else if (is_silent_for_majority(group, board, now) || is_lost(group, monitor, board, fleet_size, now)) {
    monitor.replacement->begin(ReplacementReason::kSilent, now);
  } else if (now >= monitor.primary_since + kCommitStallTimeout && is_stalled(group, board, now)) {
    monitor.replacement->begin(ReplacementReason::kStalledCommits, now);
  }
}

void FailoverDuty::note_answers(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now) {
  const std::optional<Duration> age = group.report(now).last_answer_age;
  if (age.has_value() && *age < kProbeAfter) {
    monitor.answered_at = std::max(monitor.answered_at, now - *age);
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
      probe(next->second, monitor, now);
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

void FailoverDuty::probe(const UpstreamGroup& group, GroupMonitor& monitor, TimePoint now) {
  const UpstreamMember* const primary = monitor.primary.has_value() ? group.find(*monitor.primary) : nullptr;
  const std::optional<Duration> last_answer_age = group.report(now).last_answer_age;
  const bool answered_recently = last_answer_age.has_value() && *last_answer_age < kProbeAfter;
  const Duration interval = monitor.failures > 0 ? kTickInterval : kProbeAfter;
  if (primary != nullptr && !answered_recently && monitor.probed_at + interval <= now) {
    monitor.probed_at = now;
    send_probe(group.id(), primary->entry, now);
  }
  if (monitor.replicas_checked_at + kReplicaCheckInterval <= now || primary == nullptr) {
    monitor.replicas_checked_at = now;
    for (const auto& [id, member] : group.members()) {
      if (monitor.primary != id) {
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
  if (monitor.replacement->is_running()) {
    monitor.replacement->on_outcome(group->second, outcome, now);
    return;
  }
  if (outcome.report.has_value() && outcome.report->is_primary) {
    m_services.listener.on_primary_position(outcome.group, outcome.report->received, outcome.sent_at);
    m_services.listener.on_primary_found(outcome.group, outcome.member, outcome.report->term, now);
  }
  if (outcome.member != monitor.primary) {
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

void FailoverDuty::on_promotion(const GroupId& group, const MemberId& member, PromotionOutcome outcome, TimePoint now) {
  const auto found = m_monitors.find(group);
  if (found != m_monitors.end() && found->second.replacement != nullptr) {
    m_now = now;
    found->second.replacement->on_promotion(member, outcome, now);
  }
}

bool FailoverDuty::is_lost(const UpstreamGroup& group, const GroupMonitor& monitor, const EvidenceBoard& board,
                           std::size_t fleet_size, TimePoint now) const {
  if (monitor.failures < kFailedProbes || now < monitor.answered_at + kUnansweredTimeout) {
    return false;
  }
  std::size_t hosts_with_answer = 0;
  std::size_t hosts_without_answer = 1;
  for (const PrimaryEvidence& evidence : board.fresh_evidence(group.id(), now)) {
    if (evidence.primary != *monitor.primary) {
      continue;
    }
    if (evidence.last_answer_age.has_value() && *evidence.last_answer_age < kMaxAgeOfAnswerElsewhere) {
      ++hosts_with_answer;
    } else if (evidence.unanswered_for >= kUnansweredTimeout) {
      ++hosts_without_answer;
    }
  }
  if (board.hosts_with_fresh_report(now) == 0 && fleet_size > 1) {
    // A host that gets no reports at all is more likely to be cut off than to be the only one left, so it waits longer.
    return now >= monitor.answered_at + 3 * kUnansweredTimeout;
  }
  return hosts_with_answer == 0 ||
         (hosts_without_answer > hosts_with_answer && now >= monitor.answered_at + 2 * kUnansweredTimeout);
}

bool FailoverDuty::is_silent_for_majority(const UpstreamGroup& group, const EvidenceBoard& board, TimePoint now) {
  const std::vector<PrimaryEvidence> all = evidence_on_primary(group, board, now);
  const bool answers_any_host = std::any_of(all.begin(), all.end(), [](const PrimaryEvidence& evidence) {
    return evidence.last_answer_age.has_value() && *evidence.last_answer_age < kMaxAgeOfAnswerElsewhere;
  });
  const auto hosts_without_answer =
      static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const PrimaryEvidence& evidence) {
        return evidence.unanswered_for >= kUnansweredTimeout;
      }));
  // Hosts whose reports do not mention the group are not waiting for its primary.
  return !answers_any_host && hosts_without_answer >= 2 &&
         2 * hosts_without_answer > 1 + board.hosts_with_fresh_report(now);
}

bool FailoverDuty::is_stalled(const UpstreamGroup& group, const EvidenceBoard& board, TimePoint now) {
  const std::vector<PrimaryEvidence> all = evidence_on_primary(group, board, now);
  const bool acknowledged = std::any_of(all.begin(), all.end(), [](const PrimaryEvidence& evidence) {
    return evidence.commit_age.has_value() && *evidence.commit_age < kCommitStallTimeout;
  });
  const auto waiting = std::count_if(all.begin(), all.end(), [](const PrimaryEvidence& evidence) {
    return evidence.commit_stalled_for >= kCommitStallTimeout;
  });
  return !acknowledged && waiting >= 2;
}

}  // namespace teaselrudder
