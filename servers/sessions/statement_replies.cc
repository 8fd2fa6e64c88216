// The part of StatementExecutor that handles replies of members and lost connections.
#include <algorithm>
#include <utility>

#include "servers/sessions/statement_executor.h"

namespace teaselrudder {

namespace {

/// Delay before a statement is retried after a member was busy.
constexpr Duration kBusyRetryDelay = std::chrono::milliseconds(15);
/// Delay before a statement is retried after a member was not the primary.
constexpr Duration kPrimaryRetryDelay = std::chrono::milliseconds(30);
/// Delay before a read is retried after its third or a later attempt met a replica that was behind.
constexpr Duration kLaggingRetryDelay = std::chrono::milliseconds(25);
/// Delay before a statement is retried after a member refused to set up the connection for it.
constexpr Duration kSetupRetryDelay = std::chrono::milliseconds(25);
/// Average read latency above which the member is taken to have a long queue. The reads alone take tens of
/// milliseconds.
constexpr Duration kCongestedLatency = std::chrono::milliseconds(80);
/// Divisor for the weight of a new sample in the moving average of a member's read latency: the weight is 1/8.
constexpr std::int64_t kLatencyWeightDivisor = 8;

/// Returns the delay before the next attempt; `attempts` is the number of attempts before the one that failed with
/// `code`. The first two attempts that meet a replica that is behind cause no delay, because another replica may be up
/// to date.
Duration retry_delay(StatementErrorCode code, std::uint32_t attempts) {
  switch (code) {
    case StatementErrorCode::kBusy:
      return kBusyRetryDelay;
    case StatementErrorCode::kReadOnly:
      return kPrimaryRetryDelay;
    case StatementErrorCode::kLagging:
      return attempts < 2 ? Duration(0) : kLaggingRetryDelay;
    case StatementErrorCode::kNotPrepared:
      return attempts == 0 ? Duration(0) : kSetupRetryDelay;
    default:
      return Duration(0);
  }
}

}  // namespace

void StatementExecutor::on_link_opened(ConnectionId id, tl::expected<void, MemberLinkError> outcome, TimePoint now) {
  MemberConnection* const connection = m_connections.find(id);
  if (connection == nullptr) {
    return;
  }
  UpstreamGroup& group = *find_group(connection->group);
  if (outcome.has_value()) {
    m_connections.on_opened(group, *connection, now);
  } else {
    m_services.log.log_state_change("member_connection_failed", {{"group", group.id().value()},
                                                                 {"member", connection->member.value()},
                                                                 {"kind", std::string(to_string(outcome.error().kind))},
                                                                 {"cause", outcome.error().message}});
    m_connections.on_open_failed(group, *connection, outcome.error().kind, now);
  }
  dispatch(group, now);
}

void StatementExecutor::on_link_reply(ConnectionId id, StatementReply reply, TimePoint now) {
  MemberConnection* const connection = m_connections.find(id);
  if (connection == nullptr) {
    return;
  }
  UpstreamGroup& group = *find_group(connection->group);
  const std::optional<ExpectedReply> expected = m_connections.take_expected(group, *connection, now);
  if (!expected.has_value()) {
    // After a reply that no command is waiting for, further replies cannot be matched to commands.
    m_services.counters.count("member_replies_unexpected");
    m_connections.close(group, id);
    return;
  }
  note_position(group, *connection, reply, now);
  const bool sets_up = expected->purpose == ReplyPurpose::kSetup || expected->purpose == ReplyPurpose::kPrepare;
  if (sets_up && reply.error.has_value()) {
    on_setup_refused(*connection, reply);
  }
  Session* const session = session_of(*connection);
  const bool answers_own_command =
      expected->purpose == ReplyPurpose::kRollback || expected->purpose == ReplyPurpose::kStepDown;
  if (session == nullptr || !session->execution.has_value() || answers_own_command) {
    on_orphan_reply(group, *connection, *expected, reply, now);
    dispatch(group, now);
    return;
  }
  switch (expected->purpose) {
    case ReplyPurpose::kSetup:
      on_setup_reply(*session, group, *connection, reply, now);
      break;
    case ReplyPurpose::kPrepare:
      return;
    case ReplyPurpose::kBegin:
      on_begin_reply(*session, group, *connection, reply, expected->sent_at, now);
      break;
    default:
      on_statement_reply(*session, group, *connection, std::move(reply), expected->sent_at, now);
      break;
  }
  dispatch(group, now);
}

void StatementExecutor::on_setup_refused(MemberConnection& connection, const StatementReply& reply) {
  m_services.counters.count("session_setups_failed");
  m_services.log.log_state_change("setup_refused", {{"group", connection.group.value()},
                                                    {"member", connection.member.value()},
                                                    {"code", std::string(to_string(*reply.error))},
                                                    {"cause", reply.error_text}});
  connection.session_state.values.reset();
  connection.session_state.prepared.clear();
}

void StatementExecutor::on_setup_reply(Session& session, UpstreamGroup& group, MemberConnection& connection,
                                       const StatementReply& reply, TimePoint now) {
  if (!reply.error.has_value()) {
    const bool is_last = session.execution->phase == ExecutionPhase::kSettingUp && connection.expected.empty();
    if (is_last) {
      send_statement(session, group, connection, now);
    }
    return;
  }
  const MemberId member = connection.member;
  const bool in_transaction = session.state == TransactionState::kOpen;
  if (in_transaction) {
    session.pinned.reset();
    m_connections.close(group, connection.id);
  } else {
    release(connection);
  }
  if (in_transaction && session.transaction_used) {
    fail_transaction(session, StatementErrorCode::kAborted, "member refused the variables of the session", now);
    return;
  }
  retry(session, group, member, *reply.error, kSetupRetryDelay, now);
}

void StatementExecutor::on_orphan_reply(UpstreamGroup& group, MemberConnection& connection,
                                        const ExpectedReply& expected, const StatementReply& reply, TimePoint now) {
  switch (expected.purpose) {
    case ReplyPurpose::kRollback:
      connection.in_transaction = false;
      return;
    case ReplyPurpose::kBegin:
      send_rollback(group, connection, now);
      return;
    case ReplyPurpose::kStatement:
      // If the caller left during its commit, the reply ends the transaction. After any other statement a transaction
      // is still open and is rolled back.
      if (connection.in_transaction && reply.state == TransactionState::kIdle) {
        connection.in_transaction = false;
      } else if (connection.in_transaction && connection.expected.empty()) {
        send_rollback(group, connection, now);
      }
      return;
    default:
      return;
  }
}

void StatementExecutor::note_primary_position(UpstreamGroup& group, const MemberConnection& connection,
                                              const StatementReply& reply, TimePoint sent_at) {
  const bool is_leased = group.primary() == connection.member && group.is_leased_at(sent_at);
  if (reply.position.has_value() && is_leased) {
    group.on_primary_position(*reply.position, sent_at);
  }
}

void StatementExecutor::note_position(UpstreamGroup& group, const MemberConnection& connection,
                                      const StatementReply& reply, TimePoint now) {
  UpstreamMember* const member = group.find(connection.member);
  if (member != nullptr) {
    if (reply.error == StatementErrorCode::kBusy) {
      member->window.on_refusal(now);
    } else if (!reply.error.has_value() && !reply.signature.empty()) {
      member->window.on_answer();
    }
    if (reply.position.has_value()) {
      member->applied = *reply.position;
      member->applied_at = now;
    }
  }
  if (reply.position.has_value() && group.term() != Term(0) && reply.position->term > group.term()) {
    group.doubt_primary(now);
  }
}

void StatementExecutor::on_begin_reply(Session& session, UpstreamGroup& group, MemberConnection& connection,
                                       const StatementReply& reply, TimePoint sent_at, TimePoint now) {
  if (!reply.error.has_value()) {
    note_primary_position(group, connection, reply, sent_at);
    send_statement(session, group, connection, now);
    return;
  }
  const MemberId member = connection.member;
  leave_transaction(session, group, connection, reply.state, now);
  if (*reply.error == StatementErrorCode::kReadOnly) {
    group.doubt_primary(now);
  }
  retry(session, group, member, *reply.error, retry_delay(*reply.error, session.execution->attempts), now);
}

void StatementExecutor::leave_transaction(Session& session, UpstreamGroup& group, MemberConnection& connection,
                                          TransactionState state, TimePoint now) {
  session.pinned.reset();
  if (state == TransactionState::kIdle) {
    connection.in_transaction = false;
    release(connection);
  } else {
    send_rollback(group, connection, now);
  }
}

void StatementExecutor::on_statement_reply(Session& session, UpstreamGroup& group, MemberConnection& connection,
                                           StatementReply reply, TimePoint sent_at, TimePoint now) {
  if (reply.error.has_value()) {
    if (session.state == TransactionState::kOpen) {
      on_transaction_error(session, group, connection, std::move(reply), now);
    } else {
      on_statement_error(session, group, connection, std::move(reply), now);
    }
    return;
  }
  on_statement_done(session, group, connection, std::move(reply), sent_at, now);
}

void StatementExecutor::on_statement_done(Session& session, UpstreamGroup& group, MemberConnection& connection,
                                          StatementReply reply, TimePoint sent_at, TimePoint now) {
  const StatementExecution& execution = *session.execution;
  const MemberId member_id = connection.member;
  const bool commits = execution.statement.kind == StatementKind::kCommit;
  const bool single_write = execution.writes && !connection.in_transaction;
  const bool acknowledges_commit = single_write || (commits && execution.writes);
  note_primary_position(group, connection, reply, sent_at);
  if (acknowledges_commit) {
    group.on_commit_acknowledged(now);
    m_write_latency.record(now - sent_at);
  } else if (!execution.writes && !commits) {
    m_read_latency.record(now - sent_at);
    UpstreamMember* const member = group.find(connection.member);
    if (member != nullptr) {
      member->read_latency += ((now - sent_at) - member->read_latency) / kLatencyWeightDivisor;
      if (member->read_latency > kCongestedLatency) {
        member->window.on_refusal(now);
      }
    }
  }
  if (commits) {
    connection.in_transaction = false;
    session.pinned.reset();
    session.state = TransactionState::kIdle;
  } else if (session.state == TransactionState::kOpen) {
    session.transaction_used = true;
  }
  if (!session.pinned.has_value()) {
    release(connection);
  }
  if (acknowledges_commit) {
    const Term term = reply.position.has_value() ? reply.position->term : group.term();
    session.execution->commit_sent_at = sent_at;
    confirm_commit(session, group, {member_id, term}, std::move(reply), now);
    return;
  }
  finish(session, std::move(reply), now);
}

void StatementExecutor::confirm_commit(Session& session, UpstreamGroup& group, const GroupLeader& primary,
                                       StatementReply reply, TimePoint now) {
  if (may_acknowledge(group, primary, now)) {
    acknowledge(session, group, std::move(reply), now);
    return;
  }
  StatementExecution& execution = *session.execution;
  m_services.counters.count("acknowledgements_withheld");
  const std::optional<PrimaryLease>& lease = group.lease();
  const auto lease_left_at = [&lease](TimePoint time) {
    return lease.has_value() ? std::to_string(to_milliseconds(lease->until - time)) : "none";
  };
  m_services.log.log_state_change("acknowledgement_withheld",
                                  {{"request", execution.statement.id.value()},
                                   {"group", group.id().value()},
                                   {"member", primary.member.value()},
                                   {"position", reply.position.has_value() ? to_text(*reply.position) : "none"},
                                   {"waited_ms", std::to_string(to_milliseconds(now - execution.phase_since))},
                                   {"hears_quorum", m_hears_quorum ? "yes" : "no"},
                                   {"lease_left_ms", lease_left_at(now)},
                                   {"lease_left_at_arrival_ms", lease_left_at(group.lease_arrived_at())}});
  execution.phase = ExecutionPhase::kConfirming;
  execution.phase_since = now;
  execution.connection.reset();
  execution.withheld = std::move(reply);
  execution.acknowledged_by = primary;
  m_withheld[group.id()].insert(session.id);
  group.request_lease(now);
  m_requests_lease = true;
  schedule_timer(session);
  release_withheld(group, now);
}

void StatementExecutor::acknowledge(Session& session, UpstreamGroup& group, StatementReply reply, TimePoint now) {
  if (reply.position.has_value()) {
    LogPoint& own = session.own_commits[group.id()];
    own = std::max(own, *reply.position);
    group.note_acknowledged(*reply.position);
    // No other member can have acknowledged a commit before, so the log is that of the primary.
    group.on_primary_position(*reply.position, session.execution->commit_sent_at);
  }
  finish(session, std::move(reply), now);
}

bool StatementExecutor::may_acknowledge(const UpstreamGroup& group, const GroupLeader& primary, TimePoint now) const {
  const bool needs_no_lease = may_commit_without_lease(group) && group.announced_leader() == primary;
  return m_hears_quorum && (needs_no_lease || group.may_acknowledge(primary, now));
}

bool StatementExecutor::may_commit_without_lease(const UpstreamGroup& group) const {
  return m_duty_is_vacant && group.configuration().synchronous && !group.was_being_replaced() &&
         !group.was_revoked_elsewhere();
}

void StatementExecutor::release_all_withheld(TimePoint now) {
  for (auto& [id, group] : m_groups) {
    release_withheld(group, now);
  }
}

void StatementExecutor::release_withheld(UpstreamGroup& group, TimePoint now) {
  const auto withheld = m_withheld.find(group.id());
  if (withheld == m_withheld.end()) {
    return;
  }
  std::set<SessionId> left = std::move(withheld->second);
  m_withheld.erase(withheld);
  for (const SessionId id : left) {
    const auto session = m_sessions.find(id);
    const bool waits = session != m_sessions.end() && session->second.execution.has_value() &&
                       session->second.execution->withheld.has_value() && session->second.route->group == group.id();
    if (!waits) {
      continue;
    }
    const GroupLeader primary = session->second.execution->acknowledged_by;
    if (may_acknowledge(group, primary, now)) {
      acknowledge(session->second, group, std::move(*session->second.execution->withheld), now);
    } else if (primary.term < group.term()) {
      refuse(session->second, StatementErrorCode::kInDoubt, "primary was replaced before the commit was confirmed",
             now);
    } else {
      m_withheld[group.id()].insert(id);
    }
  }
}

void StatementExecutor::on_statement_error(Session& session, UpstreamGroup& group, MemberConnection& connection,
                                           StatementReply reply, TimePoint now) {
  const StatementExecution& execution = *session.execution;
  const StatementErrorCode code = *reply.error;
  const MemberId member = connection.member;
  release(connection);
  if (code == StatementErrorCode::kNotPrepared) {
    connection.session_state.prepared.clear();
  }
  if (code == StatementErrorCode::kReadOnly) {
    group.doubt_primary(now);
  }
  if (is_not_run(code)) {
    retry(session, group, member, code, retry_delay(code, execution.attempts), now);
    return;
  }
  const bool failed_read = !execution.writes && code == StatementErrorCode::kFailed;
  if (failed_read && execution.attempts + 1 < kMaxReadAttempts && m_retry_budget.try_spend()) {
    group.find(member)->avoid_until = now + kAvoidTime;
    retry(session, group, member, code, Duration(0), now);
    return;
  }
  refuse(session, code, reply.error_text, now);
}

void StatementExecutor::on_transaction_error(Session& session, UpstreamGroup& group, MemberConnection& connection,
                                             StatementReply reply, TimePoint now) {
  const StatementExecution& execution = *session.execution;
  const StatementErrorCode code = *reply.error;
  const bool commits = execution.statement.kind == StatementKind::kCommit;
  if (code == StatementErrorCode::kReadOnly) {
    group.doubt_primary(now);
  }
  if (code == StatementErrorCode::kNotPrepared) {
    connection.session_state.prepared.clear();
  }
  const bool can_prepare = code == StatementErrorCode::kNotPrepared && execution.attempts + 1 < kMaxPrepareAttempts;
  const bool can_repeat = reply.state == TransactionState::kOpen && (code == StatementErrorCode::kBusy || can_prepare);
  if (can_repeat && now + kBusyRetryDelay < execution.deadline) {
    ++session.execution->attempts;
    m_services.counters.count("statement_retries_in_transaction");
    send_statement(session, group, connection, now);
    return;
  }
  // If the first statement of a transaction was not run, the transaction has had no effect and can be started again.
  if (is_not_run(code) && !session.transaction_used && !commits) {
    const MemberId member = connection.member;
    leave_transaction(session, group, connection, reply.state, now);
    retry(session, group, member, code, retry_delay(code, execution.attempts), now);
    return;
  }
  if (reply.state == TransactionState::kIdle) {
    connection.in_transaction = false;
    session.pinned.reset();
    release(connection);
  }
  const bool outcome_unknown = commits && execution.writes && !is_not_run(code) && code != StatementErrorCode::kAborted;
  fail_transaction(session, outcome_unknown ? StatementErrorCode::kInDoubt : StatementErrorCode::kAborted,
                   "member answered " + std::string(to_string(code)), now);
}

void StatementExecutor::on_link_closed(ConnectionId id, TimePoint now) {
  MemberConnection* const connection = m_connections.find(id);
  if (connection == nullptr) {
    return;
  }
  UpstreamGroup& group = *find_group(connection->group);
  const MemberId member = connection->member;
  Session* const session = session_of(*connection);
  m_services.counters.count("member_connections_lost");
  m_connections.forget(group, *connection);
  if (session == nullptr) {
    return;
  }
  if (session->pinned == id) {
    session->pinned.reset();
  }
  if (!session->execution.has_value()) {
    // The caller pauses within its transaction; it gets the error with its next statement.
    session->state = TransactionState::kFailed;
    return;
  }
  handle_connection_loss(*session, group, member, now);
}

void StatementExecutor::handle_connection_loss(Session& session, UpstreamGroup& group, const MemberId& member,
                                               TimePoint now) {
  const StatementExecution& execution = *session.execution;
  UpstreamMember* const known = group.find(member);
  if (known != nullptr) {
    known->avoid_until = now + kAvoidTime;
  }
  const bool in_transaction = session.state == TransactionState::kOpen;
  const bool commits = execution.statement.kind == StatementKind::kCommit;
  const bool not_run = execution.phase != ExecutionPhase::kRunning;
  const bool repeatable_read = !in_transaction && !execution.writes;
  const bool loses_statements = in_transaction && session.transaction_used;
  if (!loses_statements && (not_run || repeatable_read)) {
    if (now >= execution.deadline && in_transaction) {
      fail_transaction(session, StatementErrorCode::kAborted, "connection to the member was lost", now);
      return;
    }
    if (now >= execution.deadline) {
      refuse(session, repeatable_read && !not_run ? StatementErrorCode::kTimeout : StatementErrorCode::kBusy,
             "connection to the member was lost", now);
      return;
    }
    retry(session, group, member, StatementErrorCode::kTimeout, Duration(0), now);
    return;
  }
  if (in_transaction && (not_run || !commits || !execution.writes)) {
    fail_transaction(session, StatementErrorCode::kAborted, "connection to the member was lost", now);
    return;
  }
  session.state = TransactionState::kIdle;
  refuse(session, StatementErrorCode::kInDoubt, "connection to the member was lost", now);
}

}  // namespace teaselrudder
