// The part of StatementExecutor that handles timeouts, hedged reads and the maintenance of connections.
#include <algorithm>

#include "servers/sessions/statement_executor.h"

namespace teaselrudder {

namespace {

/// Interval of the maintenance of connections and members.
constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(100);
/// Maximum number of connections to each member that are opened before a statement needs them. It is low because a
/// handshake takes a slot of the member.
constexpr std::size_t kMaxPreopenedConnections = 1;
/// Bounds of the delay after which a read is also sent to another member.
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(150);
constexpr Duration kMaxHedgeDelay = std::chrono::milliseconds(400);

}  // namespace

void StatementExecutor::schedule_timer(const Session& session) {
  const StatementExecution& execution = *session.execution;
  TimePoint next = execution.deadline;
  switch (execution.phase) {
    case ExecutionPhase::kWaiting:
      if (execution.not_before > execution.phase_since) {
        next = std::min(next, execution.not_before);
      }
      break;
    case ExecutionPhase::kSettingUp:
    case ExecutionPhase::kBeginning:
      next = std::min(next, execution.phase_since + kBeginTimeout);
      break;
    case ExecutionPhase::kRunning:
      if (session.state != TransactionState::kOpen && !execution.writes && execution.attempts + 1 < kMaxReadAttempts) {
        next = std::min(next, execution.phase_since + hedge_delay(session));
      }
      break;
    case ExecutionPhase::kConfirming:
      break;
  }
  m_timers.schedule(session.id, next);
}

Duration StatementExecutor::hedge_delay(const Session& session) const {
  return std::clamp(session.route->objective * 6 / 10, kMinHedgeDelay, kMaxHedgeDelay);
}

void StatementExecutor::on_session_timer(Session& session, TimePoint now) {
  StatementExecution& execution = *session.execution;
  UpstreamGroup& group = *find_group(session.route->group);
  switch (execution.phase) {
    case ExecutionPhase::kWaiting:
      if (refuse_if_unreachable(session, group, now)) {
        return;
      }
      if (now < execution.deadline) {
        execution.phase_since = now;
        schedule_timer(session);
        dispatch(group, now);
        return;
      }
      if (session.state == TransactionState::kOpen) {
        fail_transaction(session, StatementErrorCode::kAborted, "no connection or primary in time", now);
      } else if (execution.last_error == StatementErrorCode::kLagging ||
                 (!execution.needs_primary && !required_position_of(session, group).has_value())) {
        refuse(session, StatementErrorCode::kLagging, "no member has the required position", now);
      } else {
        refuse(session, StatementErrorCode::kBusy, "no connection or primary in time", now);
      }
      return;
    case ExecutionPhase::kSettingUp:
    case ExecutionPhase::kBeginning: {
      MemberConnection* const connection = m_connections.find(*execution.connection);
      const MemberId member = connection->member;
      const TimePoint unanswered_since = execution.phase_since - kCheckAfter;
      session.pinned.reset();
      m_connections.close(group, connection->id);
      close_stale(group, member, unanswered_since);
      handle_connection_loss(session, group, member, now);
      return;
    }
    case ExecutionPhase::kRunning:
      on_running_timer(session, group, now);
      return;
    case ExecutionPhase::kConfirming:
      end_execution(session, "no lease confirmed the commit in time", now);
      return;
  }
}

void StatementExecutor::on_running_timer(Session& session, UpstreamGroup& group, TimePoint now) {
  StatementExecution& execution = *session.execution;
  MemberConnection& connection = *m_connections.find(*execution.connection);
  UpstreamMember* const member = group.find(connection.member);
  const bool in_transaction = session.state == TransactionState::kOpen;
  if (now < execution.deadline && (in_transaction || execution.writes)) {
    // Writes are never sent twice.
    schedule_timer(session);
    return;
  }
  if (now < execution.deadline) {
    // The read is also sent to another member. If the first member answers later, its answer is dropped and only shows
    // that the connection works.
    if (!m_retry_budget.try_spend()) {
      execution.attempts = kMaxReadAttempts;
      m_services.counters.count("reads_not_hedged_for_budget");
      schedule_timer(session);
      return;
    }
    if (member != nullptr) {
      member->avoid_until = now + kAvoidTime;
    }
    release(connection);
    retry(session, group, connection.member, StatementErrorCode::kTimeout, Duration(0), now);
    return;
  }
  if (!in_transaction && !execution.writes) {
    release(connection);
    refuse(session, StatementErrorCode::kTimeout, "member did not answer in time", now);
    return;
  }
  end_execution(session, "member did not answer in time", now);
}

void StatementExecutor::end_execution(Session& session, const std::string& cause, TimePoint now) {
  const StatementExecution& execution = *session.execution;
  const bool in_transaction = session.state == TransactionState::kOpen;
  const bool commits = execution.statement.kind == StatementKind::kCommit;
  const bool is_sent = execution.phase == ExecutionPhase::kRunning || execution.phase == ExecutionPhase::kConfirming;
  const bool may_have_committed = is_sent && execution.writes && (commits || !in_transaction);
  if (execution.connection.has_value() && m_connections.find(*execution.connection) != nullptr) {
    session.pinned.reset();
    m_connections.close(*find_group(session.route->group), *execution.connection);
  }
  if (may_have_committed) {
    session.state = TransactionState::kIdle;
    refuse(session, StatementErrorCode::kInDoubt, cause, now);
  } else if (in_transaction) {
    fail_transaction(session, StatementErrorCode::kAborted, cause, now);
  } else {
    refuse(session, StatementErrorCode::kBusy, cause, now);
  }
}

void StatementExecutor::set_in_minority(bool in_minority, TimePoint now) {
  if (in_minority == m_in_minority_since.has_value()) {
    return;
  }
  m_services.log.log_state_change("minority", {{"hears_fleet", in_minority ? "no" : "yes"}});
  if (in_minority) {
    m_in_minority_since = now;
    return;
  }
  const TimePoint since = *m_in_minority_since;
  m_in_minority_since.reset();
  reconnect_stale(since, now);
}

void StatementExecutor::set_hears_quorum(bool hears_quorum, TimePoint now) {
  const bool regained = hears_quorum && !m_hears_quorum;
  m_hears_quorum = hears_quorum;
  if (regained) {
    release_all_withheld(now);
  }
}

void StatementExecutor::set_duty_is_vacant(bool is_vacant, TimePoint now) {
  const bool became_vacant = is_vacant && !m_duty_is_vacant;
  m_duty_is_vacant = is_vacant;
  if (became_vacant) {
    release_all_withheld(now);
  }
}

void StatementExecutor::close_stale(UpstreamGroup& group, const MemberId& member, TimePoint unanswered_since) {
  for (const ConnectionId id : m_connections.unanswered_since(group, unanswered_since)) {
    const MemberConnection* const connection = m_connections.find(id);
    if (connection != nullptr && connection->member == member) {
      m_connections.close(group, id);
    }
  }
}

void StatementExecutor::reconnect_stale(TimePoint unanswered_since, TimePoint now) {
  for (auto& [id, group] : m_groups) {
    for (const ConnectionId connection : m_connections.unanswered_since(group, unanswered_since)) {
      m_connections.close(group, connection);
    }
    for (auto& [member_id, member] : group.members()) {
      member.next_connect_at = now;
      member.connect_failures = 0;
    }
  }
  run_maintenance(now);
}

void StatementExecutor::on_tick(TimePoint now) {
  for (const SessionId id : m_timers.take_due(now)) {
    // An earlier timer of this round may have advanced the session and scheduled a new timer for it.
    const auto session = m_sessions.find(id);
    if (session != m_sessions.end() && session->second.execution.has_value() && !m_timers.contains(id)) {
      on_session_timer(session->second, now);
    }
  }
  if (now >= m_next_maintenance) {
    run_maintenance(now);
  }
}

TimePoint StatementExecutor::next_wakeup() const {
  return std::min(m_timers.next().value_or(m_next_maintenance), m_next_maintenance);
}

std::size_t StatementExecutor::preopened_connections(const UpstreamGroup& group, const UpstreamMember& member) const {
  // A member that has not answered is asked again, also if no statement needs it. It would otherwise count as silent
  // for good, and a primary would be replaced again and again.
  if (member.silent_since.has_value()) {
    return 1;
  }
  // With accounts it is unknown whose statement needs the next connection.
  return m_serves_accounts ? 0 : std::min(kMaxPreopenedConnections, m_connections.idle_share(group));
}

void StatementExecutor::run_maintenance(TimePoint now) {
  m_next_maintenance = now + kMaintenanceInterval;
  for (const ConnectionId id : m_connections.overdue(now)) {
    MemberConnection* const connection = m_connections.find(id);
    m_services.links.close_link(id);
    if (connection->open) {
      on_link_closed(id, now);
    } else {
      on_link_opened(
          id,
          tl::unexpected(MemberLinkError{MemberLinkErrorKind::kUnreachable, "no answer within the connection timeout"}),
          now);
    }
  }
  for (auto& [id, group] : m_groups) {
    for (auto& [member_id, member] : group.members()) {
      for (const ConnectionId connection : m_connections.excess_connections(group, member, now)) {
        m_connections.close(group, connection);
      }
      const bool is_needed = !member.leaving_since.has_value() || group.primary() == member_id;
      const std::size_t preopened = preopened_connections(group, member);
      if (is_needed && member.connections.size() < preopened &&
          m_connections.may_open(group, member, AccountId(), now)) {
        m_connections.open(group, member, AccountId(), now);
      }
    }
    for (const UpstreamMember& member : group.remove_missing(now)) {
      m_group_of_member.erase(member.entry.member);
      for (const ConnectionId connection : member.connections) {
        m_services.links.close_link(connection);
        on_link_closed(connection, now);
      }
    }
    if (const auto withheld = m_withheld.find(id); withheld != m_withheld.end()) {
      group.request_lease(now);
      m_requests_lease = true;
      release_withheld(group, now);
    }
    const auto waiting = m_waiting.find(id);
    if (waiting == m_waiting.end() || waiting->second.empty()) {
      continue;
    }
    const bool long_wait = std::any_of(waiting->second.begin(), waiting->second.end(), [now](const WaitingKey& key) {
      return std::get<TimePoint>(key) + kDoubtPrimaryAfter <= now;
    });
    if (long_wait) {
      group.doubt_primary(now);
    }
    dispatch(group, now);
  }
}

}  // namespace teaselrudder
