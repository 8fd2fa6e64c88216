#include "servers/session_host/session_host.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "servers/configuration/backoff.h"
#include "servers/session_host/host_entry.h"

namespace teaselrudder {

namespace {

constexpr std::string_view kHostPrefix = "hosts/";
constexpr std::string_view kDutyKey = "duties/failover";

ExecutorServices executor_services(const SessionHostSettings& settings, const SessionHostPorts& ports) {
  return {ports.links, ports.read_report, ports.counters, ports.log, settings.domain, settings.random_seed};
}

/// Tolerance for a computed sending time in the future. The clocks of two hosts may differ in rate.
constexpr Duration kMaxClockError = std::chrono::milliseconds(20);

/// Returns the earliest time, on this host's clock, at which the report can have been sent. Returns nothing if it
/// echoes no report of this host, or one with another clock, for example from before a restart of the machine.
///
/// The hosts' clocks are not synchronized and a report may arrive late, so neither its sending time nor its arrival
/// time can be used. The echo is the time on this host's clock when it sent the echoed report, and the other host sent
/// its own report `echo_delay` after that one arrived. So it was sent at the sum of both or later.
std::optional<TimePoint> earliest_sending_time(const EvidenceReport& report, TimePoint now) {
  const TimePoint sent_after = TimePoint(Duration(report.echo_us)) + report.echo_delay;
  if (report.echo_us <= 0 || sent_after > now + kMaxClockError) {
    return std::nullopt;
  }
  return std::min(sent_after, now);
}

/// Returns the value of the duty's record: the holder and the incarnation of its process.
std::string duty_record(const HostId& holder, std::uint64_t incarnation) {
  return holder.value() + " " + std::to_string(incarnation);
}

HostId duty_holder(const std::string& record) { return HostId(record.substr(0, record.find(' '))); }

LeasedRecord::Timings timings(Duration time_to_live, Duration renewal, Duration shortest) {
  return {std::max(time_to_live, shortest), renewal};
}

}  // namespace

SessionHost::SessionHost(SessionHostSettings settings, SessionHostPorts ports,
                         std::shared_ptr<const StateChart> replacement_chart)
    : m_settings(std::move(settings)),
      m_evidence(ports.evidence),
      m_counters(ports.counters),
      m_log(ports.log),
      m_sessions(ports.callers, executor_services(m_settings, ports), m_settings.quota_policy),
      m_view(ports.store, *this, ports.counters, ports.log, m_settings.random_seed + 1),
      m_record(std::string(kHostPrefix) + m_settings.self.value(),
               encode_host_entry({m_settings.evidence_endpoint, m_settings.domain, m_settings.incarnation}),
               RecordPolicy::kReplace, timings(kRecordTimeToLive, kRecordTimeToLive / 3, m_settings.min_time_to_live),
               ports.store, ports.counters, ports.log, m_settings.random_seed + 2),
      m_duty(std::string(kDutyKey), duty_record(m_settings.self, m_settings.incarnation), RecordPolicy::kOnlyIfAbsent,
             timings(kDutyTimeToLive, kDutyRenewal, m_settings.min_time_to_live), ports.store, ports.counters,
             ports.log, m_settings.random_seed + 3),
      m_leaders(ports.store, ports.counters, ports.log),
      m_failover({ports.links, ports.read_report, ports.promotions, *this, [this] { m_duty.rewrite(); }, ports.counters,
                  ports.log, m_settings.self, m_settings.promotion_tokens_are_checked},
                 std::move(replacement_chart)),
      m_hosts(m_settings.self, m_settings.domain, ports.counters),
      m_quota(m_settings.self, m_settings.quota_policy,
              {m_sessions, m_hosts, ports.evidence, ports.counters, ports.log}) {
  ports.store.set_era_listener(*this);
}

void SessionHost::on_tick(TimePoint now) {
  if (m_last_tick != TimePoint() && now > m_last_tick + kProcessPauseThreshold) {
    m_counters.count("process_pauses");
    m_log.log_state_change("process_paused", {{"ms", std::to_string(to_milliseconds(now - m_last_tick))}});
    m_duty_suspended_until = now + kDutySuspensionAfterPause;
  }
  if (m_last_tick != TimePoint() && now >= m_expected_tick + kLateTimers) {
    m_counters.count("timers_late");
    m_log.log_state_change("timers_late", {{"ms", std::to_string(to_milliseconds(now - m_expected_tick))},
                                           {"holds_duty", duty_token(now).has_value() ? "yes" : "no"}});
  }
  m_last_tick = now;
  if (m_hosts_changed) {
    update_hosts(now);
  }
  // The holder of the duty replaces primaries and has to know all members of a group.
  m_view.set_watch_wait(m_duty.held_version().has_value() ? StoreView::kMinWatchWait
                                                          : StoreView::watch_wait_for(m_settings.configuration_bound),
                        now);
  m_view.on_tick(now);
  const bool is_view_current = m_view.is_current(now) && m_view.is_settled(now);
  m_sessions.set_routing_current(is_view_current, now);
  m_record.on_tick(m_view.is_complete(), now);
  update_duty(now);
  record_missing_leaders(now);
  m_leaders.on_tick(now);
  m_failover.on_tick(m_sessions.executor().groups(), m_board, duty_token(now),
                     {m_hosts.fleet_size(), is_view_current, heard_share_of_all(now) >= ReportRing::kHalf}, now);
  if (m_failover.take_token_rejected()) {
    m_duty.on_superseded(now);
  }
  apply_own_leases(now);
  m_sessions.executor().set_in_minority(in_minority(now), now);
  m_sessions.executor().set_hears_quorum(hears_quorum(now), now);
  if (knows_that_nobody_holds_duty(now)) {
    m_duty_vacant_until = now + PrimaryLeaseGrants::kTakeoverSilence;
  }
  m_sessions.executor().set_duty_is_vacant(now < m_duty_vacant_until, now);
  m_isolated = m_sessions.executor().is_isolated(now);
  m_sessions.set_isolated(m_isolated, now);
  m_sessions.on_tick(now);
  m_quota.on_tick(m_view.is_complete(), now);
  if (now >= m_next_report) {
    send_reports(now);
  }
  request_leases(now);
  log_readiness_change();
  m_expected_tick = std::max(now, next_wakeup());
}

TimePoint SessionHost::next_wakeup() const {
  if (m_hosts_changed) {
    return TimePoint();
  }
  const TimePoint lease_request = m_sessions.executor().requests_lease() ? m_next_lease_request : TimePoint::max();
  return std::min({lease_request, m_quota.next_wakeup(), m_leaders.next_wakeup(), m_view.next_wakeup(),
                   m_record.next_wakeup(), m_duty.next_wakeup(), m_failover.next_wakeup(), m_sessions.next_wakeup(),
                   m_next_report});
}

std::optional<FencingToken> SessionHost::duty_token(TimePoint now) const {
  const std::optional<RecordVersion> version = m_duty.held_version();
  if (!version.has_value() || m_stopping) {
    return std::nullopt;
  }
  // A host in the minority is more likely to be cut off itself than the primaries that it cannot reach are to be lost.
  if (heard_share(now) < ReportRing::kHalf || (!m_duty.is_renewed(now) && !may_act_without_store(now))) {
    return std::nullopt;
  }
  return to_fencing_token(*version);
}

bool SessionHost::may_act_without_store(TimePoint now) const {
  // Without its lease the holder needs more than half, so that it shares a host with everyone who acts with a lease
  // while hosts that it misses still count there.
  const double share = heard_share_of_all(now);
  const Duration limit = share == 1 ? kMaxDutyWithoutStore : KnownHosts::kMaxDutyWithoutWholeFleet;
  return share > ReportRing::kHalf && now < m_duty.renewed_at() + limit && store_is_unreachable_for_all(now);
}

bool SessionHost::reaches_store(TimePoint now) const {
  if (!m_record.held_version().has_value()) {
    // Nothing is renewed, so only the answers to the watch calls show that the store is reached.
    return m_view.is_current(now);
  }
  const TimePoint answered_at = std::max(m_view.answered_at(), m_record.renewed_at());
  return answered_at != TimePoint() && now < answered_at + kMaxStoreSilence;
}

bool SessionHost::in_minority(TimePoint now) const {
  return m_hosts.ring().reaches_minority(
      [this, now](const HostId& host) { return m_board.has_fresh_report(host, now); });
}

bool SessionHost::hears_quorum(TimePoint now) const {
  const ReportRing& ring = m_hosts.ring();
  return !ring.reaches_minority([&](const HostId& host) {
    const Duration slack = ring.is_neighbour(host) ? Duration(0) : kDutyReportInterval - kReportInterval;
    return m_board.has_report_within(host, kMaxCommitsWithoutQuorum + slack, now);
  });
}

bool SessionHost::knows_that_nobody_holds_duty(TimePoint now) const {
  if (duty_token(now).has_value() || m_board.hears_duty_holder(kDutyHolderSilence, now) ||
      m_board.is_duty_holder_heard_elsewhere(kDutyHolderSilence, now)) {
    return false;
  }
  return m_hosts.ring().reachable_share(
             [this, now](const HostId& host) { return m_board.has_report_within(host, kMaxCommitsWithoutQuorum, now); },
             HostMembership::kExpired) > ReportRing::kHalf;
}

double SessionHost::heard_share(TimePoint now) const {
  if (!m_heard_share_at.has_value() || now < *m_heard_share_at || now >= *m_heard_share_at + kHeardShareValidity) {
    m_heard_share_at = now;
    // Where a replaced primary may go on, hosts that are cut off could still use it or another one.
    m_heard_share = reachable_share(
        m_settings.promotion_tokens_are_checked ? HostMembership::kSuspect : HostMembership::kExpired, now);
  }
  return m_heard_share;
}

double SessionHost::heard_share_of_all(TimePoint now) const {
  return m_hosts.has_expired_hosts() ? reachable_share(HostMembership::kExpired, now) : heard_share(now);
}

double SessionHost::reachable_share(HostMembership lowest, TimePoint now) const {
  return m_hosts.ring().reachable_share([this, now](const HostId& host) { return m_board.has_fresh_report(host, now); },
                                        lowest);
}

void SessionHost::update_duty(TimePoint now) {
  const bool has_quorum = heard_share(now) >= ReportRing::kHalf;
  log_quorum_change(has_quorum, now);
  if (has_quorum) {
    m_had_quorum_at = now;
  } else if (m_duty.held_version().has_value() && now >= m_had_quorum_at + kMaxDutyWithoutQuorum) {
    m_log.log_state_change("duty_released", {{"cause", "less than half of the fleet is heard"}});
    m_duty.release();
  }
  m_duty.on_tick(is_ready() && has_quorum && now >= m_duty_suspended_until, now);
}

void SessionHost::log_quorum_change(bool has_quorum, TimePoint now) {
  if (std::exchange(m_had_quorum, has_quorum) == has_quorum) {
    return;
  }
  const auto unlisted = std::count_if(m_hosts.all().begin(), m_hosts.all().end(),
                                      [](const auto& known) { return known.second.unlisted_since.has_value(); });
  m_log.log_state_change("quorum", {{"held", has_quorum ? "yes" : "no"},
                                    {"heard_percent", std::to_string(std::lround(heard_share(now) * 100))},
                                    {"hosts", std::to_string(m_hosts.all().size() + 1)},
                                    {"without_record", std::to_string(unlisted)}});
}

bool SessionHost::store_is_unreachable_for_all(TimePoint now) const {
  // After a pause of this process the last reports of the other hosts are outdated.
  if (m_view.is_current(now) || now < m_duty_suspended_until) {
    return false;
  }
  const bool receives_reports_or_is_alone = m_board.hosts_with_fresh_report(now) > 0 || m_hosts.fleet_size() == 1;
  return receives_reports_or_is_alone && m_board.hosts_with_current_store(now) == 0;
}

bool SessionHost::is_ready() const {
  return !m_stopping && !m_isolated && m_sessions.has_routes() && m_sessions.executor().has_members();
}

void SessionHost::log_readiness_change() {
  if (is_ready() == m_was_ready) {
    return;
  }
  m_was_ready = is_ready();
  m_log.log_state_change("readiness", {{"ready", m_was_ready ? "yes" : "no"},
                                       {"cut_off", m_isolated ? "yes" : "no"},
                                       {"version", std::to_string(m_sessions.version().value())}});
}

void SessionHost::begin_stop(TimePoint now) {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  m_duty.release();
  announce_stop(now);
  m_sessions.begin_stop(m_settings.stop_grace, now);
}

void SessionHost::announce_stop(TimePoint now) {
  m_hosts.ring().set_self_stopping();
  m_record.set_value(
      encode_host_entry({m_settings.evidence_endpoint, m_settings.domain, m_settings.incarnation, true}));
  m_next_report = now;
  m_next_duty_report = now;
}

void SessionHost::on_store_era(StoreEra era, TimePoint now) {
  if (era < m_store_era) {
    m_counters.count("store_answers_of_former_eras");
    return;
  }
  const StoreEra before = std::exchange(m_store_era, era);
  const bool is_first_answer = before == StoreEra(0) && !m_view.is_complete();
  if (is_first_answer) {
    m_record.set_store_era(era);
    m_duty.set_store_era(era);
  }
  if (before == era || is_first_answer) {
    return;
  }
  m_counters.count("store_restorations");
  m_log.log_state_change("store_restored", {{"era", std::to_string(era.value())},
                                            {"before", std::to_string(before.value())},
                                            {"revision_before", std::to_string(m_view.revision().value())}});
  m_former_holder_awaited_in = era;
  if (!duty_token(now).has_value()) {
    // Another holder may trust its lease, which the store has forgotten, until its time to live is over.
    m_duty.delay_acquisition(m_duty.time_to_live(), now);
  }
  m_view.on_store_restored(now);
  m_record.on_store_restored(era, now);
  m_duty.on_store_restored(era, now);
  m_leaders.on_store_restored();
}

void SessionHost::on_store_regained(TimePoint now) {
  m_hosts.on_store_read(now);
  if (!duty_token(now).has_value()) {
    m_duty.delay_acquisition(kStoreReturnNotice, now);
  }
  m_next_report = now;
}

void SessionHost::on_store_listed(TimePoint now) {
  m_hosts.on_store_read(now);
  if (m_hosts_changed) {
    update_hosts(now);
  }
  m_record.on_store_listed(now);
  m_duty.on_store_listed(now);
}

void SessionHost::on_routing(const RoutingTable& table, TimePoint now) {
  m_sessions.on_routing_changed(table, now);
  if (table.version == m_sessions.version()) {
    m_quota.configure(table.accounts);
  }
}

void SessionHost::on_member(const MemberEntry& entry, TimePoint now) {
  m_sessions.executor().on_member_seen(entry, now);
  apply_recorded_leader(entry.group, now);
}

void SessionHost::on_member_missing(const MemberId& member, bool store_was_unreachable, TimePoint now) {
  m_sessions.executor().on_member_missing(member, store_was_unreachable, now);
}

void SessionHost::on_record(const RecordChanged& record, TimePoint now) {
  if (record.key == kDutyKey) {
    m_duty.on_record(record, now);
    m_lease_requests_in_vain = 0;
    m_next_lease_request = std::min(m_next_lease_request, now + kLeaseRequestInterval);
    m_hosts.on_duty_record(record.value.has_value() ? std::optional<HostId>(duty_holder(*record.value)) : std::nullopt,
                           now);
    return;
  }
  if (record.key.starts_with(LeaderRecords::kPrefix)) {
    m_leaders.on_record(record);
    apply_recorded_leader(GroupId(record.key.substr(LeaderRecords::kPrefix.size())), now);
    return;
  }
  if (!record.key.starts_with(kHostPrefix)) {
    return;
  }
  const HostId host(record.key.substr(kHostPrefix.size()));
  if (host == m_settings.self) {
    m_record.on_record(record, now);
    return;
  }
  m_hosts.on_record(host, record.value, now);
  m_hosts_changed = true;
}

void SessionHost::update_hosts(TimePoint now) {
  m_hosts_changed = false;
  m_heard_share_at.reset();
  m_counters.count("host_list_updates");
  m_hosts.update(
      m_board.known_hosts(now), [this, now](const HostId& host) { return m_board.has_fresh_report(host, now); }, now);
  m_view.set_fleet_size(m_hosts.fleet_size());
  m_quota.on_hosts_changed(now);
  m_sessions.executor().set_fleet_size(m_hosts.fleet_size());
}

void SessionHost::on_primary_position(const GroupId& group, const LogPoint& position, TimePoint at) {
  m_sessions.executor().on_reported_position(group, position, at);
}

void SessionHost::apply_recorded_leader(const GroupId& group, TimePoint now) {
  if (const auto leader = m_leaders.recorded(group); leader.has_value()) {
    m_sessions.executor().update_primary(group, leader->member, leader->term, now);
  }
}

void SessionHost::record_missing_leaders(TimePoint now) {
  if (!duty_token(now).has_value() || m_view.revision() == StoreRevision(0)) {
    return;
  }
  for (const auto& [id, group] : m_sessions.executor().groups()) {
    const std::optional<GroupLeader> leader = group.announced_leader();
    if (leader.has_value() && m_leaders.lacks(id, *leader)) {
      m_leaders.record(id, *leader);
    }
  }
}

bool SessionHost::ensure_leader_recorded(const GroupId& group, const GroupLeader& leader, TimePoint now) {
  if (m_leaders.is_recorded(group, leader.term)) {
    return true;
  }
  if (m_leaders.lacks(group, leader)) {
    m_leaders.record(group, leader);
  }
  return store_is_unreachable_for_all(now);
}

void SessionHost::on_leases_revoked(const GroupId& group, Term replaced, TimePoint now) {
  if (!m_sessions.executor().groups().at(group).is_revoked(now)) {
    m_announcements_left = kPrimaryAnnouncements;
    m_next_report = now;
  }
  m_sessions.executor().revoke_leases(group, replaced, now);
}

void SessionHost::on_revocation_ended(const GroupId& group) { m_sessions.executor().end_revocation(group); }

void SessionHost::on_leader_announced(const GroupId& group, const GroupLeader& leader, TimePoint now) {
  m_announcements_left = kPrimaryAnnouncements;
  m_next_report = now;
  m_leaders.record(group, leader);
  m_sessions.executor().update_primary(group, leader.member, leader.term, now);
}

void SessionHost::on_evidence(const EvidenceReport& report, TimePoint now) {
  if (m_hosts.find(report.sender) == nullptr) {
    m_counters.count("reports_of_unknown_hosts");
    return;
  }
  if (m_board.on_report(report, now)) {
    on_stop_reported(report.sender, report.stopping);
  }
  note_duty_token(std::max(report.duty_token, report.newest_duty_token), now);
  const std::optional<TimePoint> sent_after = earliest_sending_time(report, now);
  for (const PrimaryEvidence& evidence : report.groups) {
    m_sessions.executor().update_primary(evidence.group, evidence.primary, evidence.term, now);
    apply_lease(report, evidence, now);
    m_sessions.executor().on_acknowledged_elsewhere(evidence.group, evidence.acknowledged);
    if (evidence.revoked_term != Term(0)) {
      m_sessions.executor().on_revoked_elsewhere(evidence.group, evidence.revoked_term, now);
    }
    if (evidence.lacks_connection) {
      m_sessions.executor().on_connection_lacked_elsewhere(evidence.group, evidence.primary, now);
    }
    if (evidence.position.has_value() && sent_after.has_value()) {
      m_sessions.executor().on_evidence(evidence.group, *evidence.position, *sent_after - evidence.position_age);
    }
  }
  answer_lease_requests(report, now);
  apply_revocations(report, now);
}

void SessionHost::on_stop_reported(const HostId& host, bool stopping) {
  if (m_hosts.find(host)->stopping != stopping) {
    m_hosts.on_report(host, stopping);
    m_hosts_changed = true;
  }
}

void SessionHost::on_quota_message(const QuotaMessage& message, TimePoint now) {
  if (!m_stopping) {
    m_quota.on_message(message, now);
  }
}

void SessionHost::apply_revocations(const EvidenceReport& report, TimePoint now) {
  if (report.duty_token == 0 || report.duty_token < m_newest_duty_token) {
    return;
  }
  EvidenceReport answer = make_report(now);
  for (const PrimaryEvidence& evidence : report.groups) {
    const auto group = m_sessions.executor().groups().find(evidence.group);
    if (evidence.replaced_term == Term(0) || group == m_sessions.executor().groups().end()) {
      continue;
    }
    m_sessions.executor().revoke_leases(evidence.group, evidence.replaced_term, now);
    answer.groups.push_back(group->second.report(now));
  }
  if (!answer.groups.empty()) {
    send_report(report.sender, m_hosts.find(report.sender)->endpoint, answer, now);
  }
}

void SessionHost::note_duty_token(std::uint64_t token, TimePoint now) {
  m_newest_duty_token = std::max(m_newest_duty_token, token);
  const bool is_of_former_era = token != 0 && era_of(FencingToken(token)) < m_store_era;
  if (is_of_former_era && std::exchange(m_former_holder_awaited_in, m_store_era) != m_store_era) {
    // This process started after the store was restored, and a holder from before may still act on its lost lease.
    m_duty.delay_acquisition(m_duty.time_to_live(), now);
  }
  const std::optional<RecordVersion> held = m_duty.held_version();
  if (held.has_value() && token > to_fencing_token(*held).value()) {
    m_duty.on_superseded(now);
  }
}

bool SessionHost::has_read_store_of_former_holder() const {
  const std::optional<RecordVersion> held = m_duty.held_version();
  return held.has_value() && (held->era != m_store_era || m_view.revision() >= held->revision);
}

void SessionHost::apply_own_leases(TimePoint now) {
  const std::optional<FencingToken> token = duty_token(now);
  if (!token.has_value() || !has_read_store_of_former_holder()) {
    return;
  }
  m_newest_duty_token = std::max(m_newest_duty_token, token->value());
  for (const auto& [id, group] : m_sessions.executor().groups()) {
    const std::optional<TimePoint> until = m_failover.granted_until(id);
    const std::optional<GroupLeader> leader = group.announced_leader();
    if (until.has_value() && leader.has_value()) {
      m_sessions.executor().on_lease(id, {*leader, *until, token->value()}, now);
    }
  }
}

void SessionHost::apply_lease(const EvidenceReport& report, const PrimaryEvidence& evidence, TimePoint now) {
  if (evidence.lease_remaining == Duration(0)) {
    return;
  }
  if (evidence.lease_token < m_newest_duty_token) {
    m_counters.count("leases_of_former_duty_holders");
    return;
  }
  const std::optional<TimePoint> sent_after = earliest_sending_time(report, now);
  if (!sent_after.has_value() || evidence.lease_remaining > PrimaryLeaseGrants::kTimeToLive) {
    m_counters.count("leases_without_valid_time");
    return;
  }
  const TimePoint until = *sent_after + evidence.lease_remaining;
  if (now <= until - PrimaryLease::kCommitMargin) {
    m_lease_requests_in_vain = 0;
  }
  m_sessions.executor().on_lease(evidence.group, {{evidence.primary, evidence.term}, until, evidence.lease_token}, now);
}

void SessionHost::request_leases(TimePoint now) {
  if (!m_sessions.executor().requests_lease() || now < m_next_lease_request) {
    return;
  }
  m_sessions.executor().clear_lease_request();
  // Callers commit at random times, so the requests of the hosts need no further jitter.
  m_next_lease_request =
      now + backoff_delay(m_lease_requests_in_vain, kLeaseRequestInterval, kMaxLeaseRequestInterval, 1);
  ++m_lease_requests_in_vain;
  const std::optional<HostId>& holder_id = m_hosts.ring().duty_holder();
  const KnownHosts::Host* const holder = holder_id.has_value() ? m_hosts.find(*holder_id) : nullptr;
  if (holder == nullptr) {
    return;
  }
  EvidenceReport report = make_report(now);
  for (const auto& [id, group] : m_sessions.executor().groups()) {
    if (group.requests_lease(now)) {
      report.groups.push_back(group.report(now));
    }
  }
  m_counters.count("lease_requests");
  send_report(*holder_id, holder->endpoint, report, now);
}

void SessionHost::answer_lease_requests(const EvidenceReport& report, TimePoint now) {
  if (!duty_token(now).has_value()) {
    return;
  }
  EvidenceReport answer = make_report(now);
  for (const PrimaryEvidence& evidence : report.groups) {
    const auto group = m_sessions.executor().groups().find(evidence.group);
    if (evidence.requests_lease && group != m_sessions.executor().groups().end() && group->second.is_leased_at(now)) {
      answer.groups.push_back(group->second.report(now));
    }
  }
  if (!answer.groups.empty()) {
    send_report(report.sender, m_hosts.find(report.sender)->endpoint, answer, now);
  }
}

EvidenceReport SessionHost::make_report(TimePoint now) const {
  EvidenceReport report;
  report.sender = m_settings.self;
  report.sent_at_us = now.time_since_epoch().count();
  const std::optional<FencingToken> token = duty_token(now);
  report.duty_token = token.has_value() ? token->value() : 0;
  report.newest_duty_token = m_newest_duty_token;
  report.hears_duty_holder = token.has_value() || m_board.hears_duty_holder(kDutyHolderSilence, now);
  report.store_current = reaches_store(now);
  report.stopping = m_stopping;
  return report;
}

void SessionHost::send_reports(TimePoint now) {
  m_next_report = now + kReportInterval;
  update_hosts(now);
  if (m_hosts.all().empty()) {
    return;
  }
  EvidenceReport report = make_report(now);
  const bool grants_leases = report.duty_token != 0;
  for (const auto& [id, group] : m_sessions.executor().groups()) {
    if (group.needs_report(now) || group.was_being_replaced() ||
        (grants_leases && m_board.has_fresh_evidence(id, now))) {
      report.groups.push_back(group.report(now));
    }
  }
  const bool duty_report = now >= m_next_duty_report;
  if (duty_report) {
    m_next_duty_report = now + kDutyReportInterval;
  }
  const bool announces = m_announcements_left > 0;
  m_announcements_left -= announces ? 1 : 0;
  const ReportRing& ring = m_hosts.ring();
  for (const auto& [host, other] : m_hosts.all()) {
    if (ring.is_neighbour(host) || announces || (duty_report && ring.exchanges_duty_reports(host))) {
      send_report(host, other.endpoint, report, now);
    }
  }
}

void SessionHost::send_report(const HostId& host, const Endpoint& endpoint, const EvidenceReport& report,
                              TimePoint now) {
  const auto newest = m_board.newest_report_from(host);
  EvidenceReport part = report;
  part.echo_us = newest.has_value() ? newest->first : 0;
  part.echo_delay = newest.has_value() ? now - newest->second : Duration(0);
  auto next = report.groups.begin();
  do {
    const auto left = static_cast<std::size_t>(report.groups.end() - next);
    const auto end = next + static_cast<std::ptrdiff_t>(std::min(left, kGroupsPerReport));
    part.groups.assign(next, end);
    m_evidence.send_report(endpoint, part);
    next = end;
  } while (next != report.groups.end());
}

std::string SessionHost::metrics(TimePoint now) const {
  std::string text = m_sessions.executor().metrics() + m_sessions.quota().metrics();
  const auto gauge = [&text](std::string_view name, std::int64_t value) {
    text += "teaselrudder_";
    text.append(name).append(" ").append(std::to_string(value)).append("\n");
  };
  gauge("sessions", static_cast<std::int64_t>(m_sessions.session_count()));
  gauge("configuration_version", static_cast<std::int64_t>(m_sessions.version().value()));
  gauge("ready", is_ready() ? 1 : 0);
  gauge("holds_failover_duty", duty_token(now).has_value() ? 1 : 0);
  gauge("store_reached", reaches_store(now) ? 1 : 0);
  gauge("store_current", m_view.is_current(now) ? 1 : 0);
  gauge("store_era", static_cast<std::int64_t>(m_store_era.value()));
  gauge("store_revision", m_view.revision().value());
  gauge("evidence_read", static_cast<std::int64_t>(m_board.evidence_read()));
  gauge("known_hosts", static_cast<std::int64_t>(m_hosts.fleet_size()));
  for (const auto& [id, group] : m_sessions.executor().groups()) {
    const PrimaryEvidence evidence = group.report(now);
    const std::string label = "{group=\"" + id.value() + "\"}";
    gauge("primary_term" + label, static_cast<std::int64_t>(evidence.term.value()));
    gauge("primary_heard_age_ms" + label, to_milliseconds(evidence.last_answer_age.value_or(Duration(-1000))));
    gauge("position_age_ms" + label, evidence.position.has_value() ? to_milliseconds(evidence.position_age) : -1);
    gauge("group_members" + label, static_cast<std::int64_t>(group.members().size()));
  }
  return text;
}

}  // namespace teaselrudder
