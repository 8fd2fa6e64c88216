#include "servers/failover/failover_duty.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

namespace {

/// Failed probes after which a primary may count as lost.
constexpr std::uint32_t kFailedProbes = 2;
/// Time after the start of the process before it replaces anything, in which it hears from the other hosts.
constexpr Duration kSettlingTime = std::chrono::milliseconds(1000);

/// Returns the evidence of this host and of the others on the member that this host takes for the primary.
std::vector<PrimaryEvidence> evidence_on_primary(const UpstreamGroup& group, const EvidenceBoard& board,
                                                 TimePoint now) {
  std::vector<PrimaryEvidence> all = board.fresh(group.id(), now);
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
  m_next_tick = now + kInterval;
  m_links.on_tick(now);
  if (!token.has_value()) {
    leave_duty();
    return;
  }
  if (!m_on_duty) {
    m_on_duty = true;
    m_services.log.log_state_change("duty_begins", {{"token", std::to_string(token->value())}});
  }
  for (const auto& [id, group] : groups) {
    Watched& watched = m_watched[id];
    if (watched.replacement == nullptr) {
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
      watched.replacement = std::make_unique<PrimaryReplacement>(id, m_chart, std::move(services));
      watched.answered_at = now;
    }
    // Before anything begins, so that the first answers already meet the present token and list of members.
    watched.replacement->on_tick(group, *token, members_current, now);
    if (!watched.replacement->is_running()) {
      watch(group, watched, board, fleet_size, now);
    }
  }
  probe_groups(groups, now);
  // The connections stay open, because at a failover the members may have none left to give.
  m_links.close_idle([&groups](const MemberId& member) {
    return std::any_of(groups.begin(), groups.end(),
                       [&member](const auto& group) { return group.second.members().contains(member); });
  });
}

void FailoverDuty::leave_duty() {
  if (!m_on_duty) {
    return;
  }
  m_on_duty = false;
  m_services.log.log_state_change("duty_ends", {});
  m_watched.clear();
  m_links.close_idle([](const MemberId&) { return false; });
}

bool FailoverDuty::take_token_rejected() {
  bool rejected = false;
  for (auto& [id, watched] : m_watched) {
    rejected = (watched.replacement != nullptr && watched.replacement->take_token_rejected()) || rejected;
  }
  return rejected;
}

void FailoverDuty::watch(const UpstreamGroup& group, Watched& watched, const EvidenceBoard& board,
                         std::size_t fleet_size, TimePoint now) {
  if (group.members().empty()) {
    return;
  }
  if (watched.primary != group.primary()) {
    watched.primary = group.primary();
    watched.failures = 0;
    watched.answered_at = now;
    watched.led_since = now;
    watched.leaderless_since.reset();
  }
  const UpstreamMember* const primary = watched.primary.has_value() ? group.find(*watched.primary) : nullptr;
  if (primary == nullptr && !watched.leaderless_since.has_value()) {
    watched.leaderless_since = now;
  }
  note_heard(group, watched, now);
  if (now < *m_first_tick + kSettlingTime) {
    return;
  }
  if (watched.leaderless_since.has_value() && *watched.leaderless_since + kNoPrimary <= now) {
    watched.leaderless_since.reset();
    watched.replacement->begin(ReplacementReason::kNoPrimary, now);
  } else if (primary == nullptr) {
    return;
  } else if (primary->leaving_since.has_value()) {
    watched.replacement->begin(ReplacementReason::kLeaving, now);
  } else if (watched.stopped_replica) {
    watched.stopped_replica = false;
    watched.replacement->begin(ReplacementReason::kStoppedReplica, now);
  } else if (is_silent_for_most(group, board, now) || is_lost(group, watched, board, fleet_size, now)) {
    watched.replacement->begin(ReplacementReason::kSilent, now);
  } else if (now >= watched.led_since + kCommitStall && is_stalled(group, board, now)) {
    watched.replacement->begin(ReplacementReason::kStalledCommits, now);
  }
}

void FailoverDuty::note_heard(const UpstreamGroup& group, Watched& watched, TimePoint now) {
  const std::optional<Duration> age = group.report(now).last_answer_age;
  if (age.has_value() && *age < kProbeAfter) {
    watched.answered_at = std::max(watched.answered_at, now - *age);
    watched.failures = 0;
  }
}

void FailoverDuty::probe_groups(const std::map<GroupId, UpstreamGroup>& groups, TimePoint now) {
  const std::chrono::duration<double> elapsed = now - std::exchange(m_probes_refilled_at, now);
  m_probes_left = std::min(kProbeBurst, m_probes_left + elapsed.count() * kProbesPerSecond);
  auto next = groups.upper_bound(m_probed_last);
  for (std::size_t count = 0; count < groups.size() && m_probes_left >= 1; ++count) {
    next = next == groups.end() ? groups.begin() : next;
    Watched& watched = m_watched.at(next->first);
    if (!watched.replacement->is_running() && !next->second.members().empty()) {
      probe(next->second, watched, now);
    }
    m_probed_last = next->first;
    ++next;
  }
}

void FailoverDuty::send_probe(const GroupId& group, const MemberEntry& member, TimePoint now) {
  if (m_links.command(group, member, MemberCommandKind::kReportStatus, Term(0), now)) {
    --m_probes_left;
  }
}

void FailoverDuty::probe(const UpstreamGroup& group, Watched& watched, TimePoint now) {
  const UpstreamMember* const primary = watched.primary.has_value() ? group.find(*watched.primary) : nullptr;
  const std::optional<Duration> last_answer_age = group.report(now).last_answer_age;
  const bool heard = last_answer_age.has_value() && *last_answer_age < kProbeAfter;
  const Duration interval = watched.failures > 0 ? kInterval : kProbeAfter;
  if (primary != nullptr && !heard && watched.probed_at + interval <= now) {
    watched.probed_at = now;
    send_probe(group.id(), primary->entry, now);
  }
  if (watched.replicas_checked_at + kReplicaCheck <= now || primary == nullptr) {
    watched.replicas_checked_at = now;
    for (const auto& [id, member] : group.members()) {
      if (watched.primary != id) {
        send_probe(group.id(), member.entry, now);
      }
    }
  }
}

void FailoverDuty::on_outcome(const ControlOutcome& outcome, TimePoint now) {
  const auto found = m_watched.find(outcome.group);
  if (found == m_watched.end() || m_groups == nullptr) {
    return;
  }
  Watched& watched = found->second;
  const auto group = m_groups->find(outcome.group);
  if (group == m_groups->end()) {
    return;
  }
  m_now = now;
  if (watched.replacement->is_running()) {
    watched.replacement->on_outcome(group->second, outcome, now);
    return;
  }
  if (outcome.report.has_value() && outcome.report->is_primary) {
    m_services.listener.on_primary_position(outcome.group, outcome.report->received, outcome.sent_at);
    m_services.listener.on_primary_found(outcome.group, outcome.member, outcome.report->term, now);
  }
  if (outcome.member != watched.primary) {
    if (outcome.report.has_value() && !outcome.report->is_primary && outcome.report->stopped_below > Term(0)) {
      watched.stopped_replica = true;
    }
    return;
  }
  if (!outcome.answered) {
    ++watched.failures;
    return;
  }
  watched.failures = 0;
  watched.answered_at = now;
  if (!outcome.report.has_value()) {
    return;
  }
  if (outcome.report->is_primary) {
    watched.leaderless_since.reset();
  } else if (!watched.leaderless_since.has_value()) {
    watched.leaderless_since = now;
  }
}

void FailoverDuty::on_promotion(const GroupId& group, const MemberId& member, PromotionOutcome outcome, TimePoint now) {
  const auto found = m_watched.find(group);
  if (found != m_watched.end() && found->second.replacement != nullptr) {
    m_now = now;
    found->second.replacement->on_promotion(member, outcome, now);
  }
}

bool FailoverDuty::is_lost(const UpstreamGroup& group, const Watched& watched, const EvidenceBoard& board,
                           std::size_t fleet_size, TimePoint now) const {
  if (watched.failures < kFailedProbes || now < watched.answered_at + kSilence) {
    return false;
  }
  std::size_t heard = 0;
  std::size_t silent = 1;
  for (const PrimaryEvidence& evidence : board.fresh(group.id(), now)) {
    if (evidence.primary != *watched.primary) {
      continue;
    }
    if (evidence.last_answer_age.has_value() && *evidence.last_answer_age < kHeardElsewhere) {
      ++heard;
    } else if (evidence.unanswered_for >= kSilence) {
      ++silent;
    }
  }
  if (board.fresh_hosts(now) == 0 && fleet_size > 1) {
    // A host that hears nobody is more likely cut off than the only one left.
    return now >= watched.answered_at + 3 * kSilence;
  }
  return heard == 0 || (silent > heard && now >= watched.answered_at + 2 * kSilence);
}

bool FailoverDuty::is_silent_for_most(const UpstreamGroup& group, const EvidenceBoard& board, TimePoint now) {
  const std::vector<PrimaryEvidence> all = evidence_on_primary(group, board, now);
  const bool heard = std::any_of(all.begin(), all.end(), [](const PrimaryEvidence& evidence) {
    return evidence.last_answer_age.has_value() && *evidence.last_answer_age < kHeardElsewhere;
  });
  const auto silent = static_cast<std::size_t>(std::count_if(
      all.begin(), all.end(), [](const PrimaryEvidence& evidence) { return evidence.unanswered_for >= kSilence; }));
  // Hosts that report nothing of the group do not wait for its primary.
  return !heard && silent >= 2 && 2 * silent > 1 + board.fresh_hosts(now);
}

bool FailoverDuty::is_stalled(const UpstreamGroup& group, const EvidenceBoard& board, TimePoint now) {
  const std::vector<PrimaryEvidence> all = evidence_on_primary(group, board, now);
  const bool acknowledged = std::any_of(all.begin(), all.end(), [](const PrimaryEvidence& evidence) {
    return evidence.commit_age.has_value() && *evidence.commit_age < kCommitStall;
  });
  const auto waiting = std::count_if(all.begin(), all.end(), [](const PrimaryEvidence& evidence) {
    return evidence.commit_stalled_for >= kCommitStall;
  });
  return !acknowledged && waiting >= 2;
}

}  // namespace teaselrudder
