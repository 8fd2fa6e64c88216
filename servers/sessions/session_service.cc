#include "servers/sessions/session_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "servers/sessions/session_access.h"

namespace teaselrudder {

namespace {

/// Interval of the periodic checks of idle sessions and of sessions that wait for a route.
constexpr Duration kSweepInterval = std::chrono::milliseconds(100);

/// Memory that a variable or a prepared statement takes beside its name and text, in bytes.
constexpr std::size_t kStateEntryBytes = 128;

/// Returns true if the session has no statement that is running or queued.
bool has_no_statements(const Session& session) { return !session.execution.has_value() && session.pending.empty(); }

std::string access_error_text(const SessionRequest& request, StatementErrorCode code) {
  return code == StatementErrorCode::kUnauthenticated ? "no account holds this key"
                                                      : "no route for " + request.database.value();
}

}  // namespace

SessionService::SessionService(CallerSessionPort& callers, ExecutorServices services, QuotaPolicy quota_policy)
    : m_callers(callers),
      m_counters(services.counters),
      m_log(services.log),
      m_quota(quota_policy, services.random_seed),
      m_executor(std::move(services), m_sessions, *this) {}

void SessionService::on_routing_changed(const RoutingTable& table, TimePoint now) {
  if (m_routing.has_value() && table.version <= m_routing->version) {
    return;
  }
  m_log.log_state_change("configuration", {{"version", std::to_string(table.version.value())},
                                           {"before", std::to_string(version().value())},
                                           {"routes", std::to_string(table.routes.size())},
                                           {"groups", std::to_string(table.groups.size())}});
  m_routing = table;
  m_executor.configure(table.groups, table.has_accounts, now);
  m_quota.configure(table.accounts);
  resolve_waiting_sessions(now);
  decide_all_waiting(now);
}

void SessionService::set_routing_current(bool current, TimePoint now) {
  if (current == m_routing_current) {
    return;
  }
  m_routing_current = current;
  resolve_waiting_sessions(now);
}

void SessionService::set_isolated(bool isolated, TimePoint now) {
  if (!isolated) {
    m_isolated_since.reset();
  } else if (!m_isolated_since.has_value()) {
    m_isolated_since = now;
  }
}

void SessionService::begin_stop(Duration grace, TimePoint now) {
  m_stopping_since = now;
  m_stop_grace = grace;
  m_next_sweep = now;
}

void SessionService::on_tick(TimePoint now) {
  m_executor.on_tick(now);
  check_waiting_for_tokens(now);
  for (const SessionId session : std::exchange(m_closing, {})) {
    close_if_at_rest(session, now);
  }
  advance_stop(now);
  if (now < m_next_sweep) {
    return;
  }
  m_next_sweep = now + kSweepInterval;
  resolve_waiting_sessions(now);
  end_idle_transactions(now);
  if (m_stopping_since.has_value() || should_close_idle_sessions(now)) {
    close_inactive_sessions(now);
  }
}

TimePoint SessionService::next_wakeup() const {
  const TimePoint token_check = m_awaiting_tokens.empty() ? TimePoint::max() : m_next_token_check;
  return m_closing.empty() ? std::min({m_executor.next_wakeup(), m_quota.next_wakeup(), token_check, m_next_sweep})
                           : TimePoint();
}

void SessionService::on_session_opened(SessionId session, const SessionRequest& request, TimePoint now) {
  m_counters.count("sessions_opened");
  if (m_routing.has_value() && !check_access(*m_routing, request).error.has_value()) {
    accept(session, request, now);
    return;
  }
  m_waiting[session] = {request, now + kRouteWaitTimeout};
  resolve_waiting_sessions(now);
}

void SessionService::accept(SessionId id, const SessionRequest& request, TimePoint now) {
  Session& session = m_sessions[id];
  session.id = id;
  session.request = request;
  session.active_at = now;
  m_callers.accept_session(id);
}

void SessionService::reject(SessionId id, const SessionRequest& request, StatementErrorCode code) {
  m_counters.count("sessions_rejected_" + std::string(to_string(code)));
  m_callers.reject_session(id, code, access_error_text(request, code));
}

void SessionService::resolve_waiting_sessions(TimePoint now) {
  for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
    const auto [id, entry] = *waiting;
    const std::optional<StatementErrorCode> error =
        m_routing.has_value() ? check_access(*m_routing, entry.request).error : StatementErrorCode::kUnknownDatabase;
    if (!error.has_value()) {
      waiting = m_waiting.erase(waiting);
      accept(id, entry.request, now);
    } else if (m_routing.has_value() && m_routing_current) {
      waiting = m_waiting.erase(waiting);
      reject(id, entry.request, *error);
    } else if (now >= entry.deadline) {
      // The routing table may be outdated, so it is unknown whether the database or the key exists. The session is
      // closed without an error, because "unknown" could be wrong.
      waiting = m_waiting.erase(waiting);
      m_counters.count("sessions_closed_without_configuration");
      m_callers.close_session(id);
    } else {
      ++waiting;
    }
  }
}

void SessionService::on_statement(SessionId id, SessionStatement statement, TimePoint now) {
  const auto session = m_sessions.find(id);
  if (session == m_sessions.end()) {
    return;
  }
  session->second.pending.emplace_back(std::move(statement));
  run_pending(session->second, now);
}

void SessionService::on_bad_statement(SessionId id, StatementErrorCode code, TimePoint now) {
  const auto session = m_sessions.find(id);
  if (session == m_sessions.end()) {
    return;
  }
  session->second.pending.emplace_back(code);
  run_pending(session->second, now);
}

void SessionService::on_session_closed(SessionId id, TimePoint now) {
  m_waiting.erase(id);
  const auto session = m_sessions.find(id);
  if (session == m_sessions.end()) {
    return;
  }
  m_executor.abandon(session->second, now);
  m_sessions.erase(session);
}

void SessionService::run_pending(Session& session, TimePoint now) {
  session.active_at = now;
  while (!session.execution.has_value() && !session.awaits_token && !session.pending.empty()) {
    const auto next = std::move(session.pending.front());
    session.pending.pop_front();
    if (const auto* code = std::get_if<StatementErrorCode>(&next)) {
      answer(session, *code, "statement cannot be read");
      continue;
    }
    run(session, std::get<SessionStatement>(next), now);
  }
  if (has_no_statements(session) && must_close_for_stop(session, now)) {
    m_closing.push_back(session.id);
  }
}

void SessionService::run(Session& session, SessionStatement statement, TimePoint now) {
  if (session.state == TransactionState::kFailed) {
    answer_in_failed_transaction(session, statement);
    return;
  }
  if (answer_locally(session, statement, now)) {
    return;
  }
  const bool in_transaction = session.state == TransactionState::kOpen;
  if (!in_transaction && statement.kind == StatementKind::kCommit) {
    answer(session, StatementErrorCode::kMalformed, "no transaction is open");
    return;
  }
  if (!in_transaction && !choose_route(session)) {
    return;
  }
  if (!in_transaction && is_too_late_for(session, now)) {
    refuse_for_stop(session);
    return;
  }
  if (!in_transaction && !admit(session, statement, now)) {
    return;
  }
  m_executor.execute(session, std::move(statement), now);
}

bool SessionService::is_too_late_for(const Session& session, TimePoint now) const {
  return m_stopped || (should_close_for_stop(now) &&
                       now + session.route->statement_timeout > *m_stopping_since + m_stop_grace - kStopMargin);
}

void SessionService::refuse_for_stop(const Session& session) {
  m_counters.count("statements_refused_for_stop");
  answer(session, StatementErrorCode::kBusy, "host is stopping");
}

bool SessionService::answer_in_failed_transaction(Session& session, const SessionStatement& statement) {
  const bool first_report = !session.failure_reported;
  session.failure_reported = true;
  if (statement.kind == StatementKind::kRollback || statement.kind == StatementKind::kCommit) {
    session.state = TransactionState::kIdle;
    session.failure_reported = false;
    if (statement.kind == StatementKind::kRollback) {
      answer(session);
    } else {
      answer(session, StatementErrorCode::kAborted, "transaction was rolled back");
    }
    return true;
  }
  if (first_report) {
    answer(session, StatementErrorCode::kAborted, "transaction was rolled back");
  } else {
    answer(session, StatementErrorCode::kMalformed, "transaction has failed; end it first");
  }
  return true;
}

bool SessionService::answer_locally(Session& session, const SessionStatement& statement, TimePoint now) {
  switch (statement.kind) {
    case StatementKind::kSetValue:
    case StatementKind::kPrepare:
    case StatementKind::kDeallocate:
      change_state(session, statement);
      return true;
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      begin(session, statement, now);
      return true;
    case StatementKind::kRollback:
      m_executor.roll_back(session, now);
      session.state = TransactionState::kIdle;
      answer(session);
      return true;
    case StatementKind::kExecute:
      if (!session.prepared.contains(statement.name)) {
        answer(session, StatementErrorCode::kNotPrepared, "no prepared statement has that name");
        return true;
      }
      return false;
    default:
      return false;
  }
}

void SessionService::change_state(Session& session, const SessionStatement& statement) {
  const bool sets_value = statement.kind == StatementKind::kSetValue;
  std::size_t former = 0;
  if (const auto value = session.values.find(statement.name); sets_value && value != session.values.end()) {
    former = value->first.size() + value->second.size() + kStateEntryBytes;
  }
  if (const auto known = session.prepared.find(statement.name); !sets_value && known != session.prepared.end()) {
    former = known->first.size() + known->second.shape.size() + kStateEntryBytes;
  }
  if (statement.kind == StatementKind::kDeallocate) {
    session.state_bytes -= former;
    session.prepared.erase(statement.name);
    m_callers.set_state_bytes(session.id, session.state_bytes);
    answer(session);
    return;
  }
  const std::size_t size =
      session.state_bytes - former + statement.name.size() + statement.argument.size() + kStateEntryBytes;
  if (size > kMaxSessionStateBytes) {
    m_counters.count("statements_refused_session_too_large");
    answer(session, StatementErrorCode::kTooLarge, "session has too many variables and prepared statements");
    return;
  }
  session.state_bytes = size;
  m_callers.set_state_bytes(session.id, size);
  if (sets_value) {
    session.values[statement.name] = statement.argument;
  } else {
    session.prepared[statement.name] = {statement.access, statement.argument};
  }
  answer(session);
}

void SessionService::begin(Session& session, const SessionStatement& statement, TimePoint now) {
  if (session.state != TransactionState::kIdle) {
    answer(session, StatementErrorCode::kMalformed, "a transaction is open");
    return;
  }
  if (!choose_route(session)) {
    return;
  }
  if (is_too_late_for(session, now) || should_end_transactions(now)) {
    refuse_for_stop(session);
    return;
  }
  if (!admit(session, statement, now)) {
    return;
  }
  session.state = TransactionState::kOpen;
  session.transaction_read_only = statement.kind == StatementKind::kBeginReadOnly;
  session.transaction_wrote = false;
  session.transaction_used = false;
  session.transaction_began = now;
  answer(session);
}

bool SessionService::choose_route(Session& session) {
  const SessionAccess access = check_access(*m_routing, session.request);
  if (access.error.has_value()) {
    m_counters.count("statements_refused_" + std::string(to_string(*access.error)));
    session.token_deadline = TimePoint();
    answer(session, *access.error, access_error_text(session.request, *access.error));
    return false;
  }
  session.route = *access.route;
  session.account = access.account;
  return true;
}

bool SessionService::admit(Session& session, const SessionStatement& statement, TimePoint now) {
  switch (m_quota.admit(session.account, now)) {
    case QuotaDecision::kAdmitted:
      session.token_deadline = TimePoint();
      return true;
    case QuotaDecision::kRefused:
      refuse_for_quota(session);
      return false;
    case QuotaDecision::kWaiting:
      break;
  }
  if (session.token_deadline == TimePoint()) {
    m_counters.count("operations_waiting_for_quota");
    session.token_deadline =
        now + std::min<Duration>(session.route->objective * kTokenWaitPercent / 100, kMaxTokenWait);
  } else if (now >= session.token_deadline) {
    refuse_for_quota(session);
    return false;
  }
  session.pending.emplace_front(statement);
  session.awaits_token = true;
  std::vector<SessionId>& waiting = m_awaiting_tokens[session.account];
  waiting.push_back(session.id);
  m_quota.set_waiting(session.account, waiting.size());
  request_tokens(now);
  return false;
}

void SessionService::refuse_for_quota(Session& session) {
  session.token_deadline = TimePoint();
  m_counters.count("operations_refused_for_quota");
  answer(session, StatementErrorCode::kBusy, "quota of the account is used up");
}

void SessionService::check_waiting_for_tokens(TimePoint now) {
  if (m_awaiting_tokens.empty() || now < m_next_token_check) {
    return;
  }
  m_next_token_check = now + kTokenCheckInterval;
  decide_all_waiting(now);
}

void SessionService::request_tokens(TimePoint now) {
  if (m_quota_listener != nullptr && !m_decides_waiting) {
    m_quota_listener->on_tokens_needed(now);
  }
}

void SessionService::on_tokens_granted(const std::vector<QuotaTokens>& granted, TimePoint now) {
  std::vector<AccountId> accounts;
  for (const QuotaTokens& tokens : granted) {
    m_quota.on_grant(tokens, now);
    accounts.push_back(tokens.account);
  }
  decide_waiting(accounts, now);
}

void SessionService::decide_waiting(const std::vector<AccountId>& accounts, TimePoint now) {
  m_decides_waiting = true;
  for (const AccountId& account : accounts) {
    const auto found = m_awaiting_tokens.find(account);
    if (found == m_awaiting_tokens.end()) {
      continue;
    }
    const std::vector<SessionId> waiting = std::move(found->second);
    m_awaiting_tokens.erase(found);
    m_quota.set_waiting(account, 0);
    for (const SessionId id : waiting) {
      const auto session = m_sessions.find(id);
      if (session != m_sessions.end() && std::exchange(session->second.awaits_token, false)) {
        run_pending(session->second, now);
      }
    }
  }
  m_decides_waiting = false;
  if (!m_awaiting_tokens.empty()) {
    request_tokens(now);
  }
}

void SessionService::decide_all_waiting(TimePoint now) {
  std::vector<AccountId> accounts;
  for (const auto& [account, waiting] : m_awaiting_tokens) {
    accounts.push_back(account);
  }
  decide_waiting(accounts, now);
}

void SessionService::answer(const Session& session, std::optional<StatementErrorCode> error, const std::string& text) {
  StatementReply reply;
  reply.error = error;
  reply.error_text = text;
  reply.state = session.state;
  m_callers.reply(session.id, reply);
}

void SessionService::on_executed(SessionId id, StatementReply reply, TimePoint now) {
  const auto session = m_sessions.find(id);
  if (session == m_sessions.end()) {
    return;
  }
  session->second.failure_reported = session->second.state == TransactionState::kFailed;
  const bool failed = reply.error.has_value();
  m_counters.count(failed ? "statements_failed" : "statements_served");
  m_callers.reply(id, reply);
  if (m_isolated_since.has_value() && failed) {
    // The caller reconnects for its next attempt, and the load balancer may route the new session to a host that is not
    // isolated.
    m_closing.push_back(id);
  }
  run_pending(session->second, now);
}

void SessionService::end_idle_transactions(TimePoint now) {
  if (!m_routing.has_value() || m_routing->transaction_idle <= Duration(0)) {
    return;
  }
  for (auto& [id, session] : m_sessions) {
    const bool rests = session.state == TransactionState::kOpen && !session.execution.has_value();
    if (!rests || now < session.active_at + m_routing->transaction_idle) {
      continue;
    }
    m_counters.count("transactions_ended_idle");
    m_log.log_state_change("transaction_ended",
                           {{"session", std::to_string(id.value())},
                            {"cause", "idle"},
                            {"idle_ms", std::to_string(to_milliseconds(now - session.active_at))}});
    m_executor.roll_back(session, now);
    session.state = TransactionState::kFailed;
    session.failure_reported = false;
  }
}

bool SessionService::should_close_idle_sessions(TimePoint now) const {
  const bool stops = should_close_for_stop(now);
  return stops || (m_isolated_since.has_value() && now >= *m_isolated_since + kLoadBalancerNoticeTime);
}

void SessionService::close_inactive_sessions(TimePoint now) {
  const bool ends_transactions = should_end_transactions(now);
  const bool closes = should_close_idle_sessions(now);
  std::vector<SessionId> closing;
  for (auto& [id, session] : m_sessions) {
    if (!has_no_statements(session)) {
      continue;
    }
    if (session.state == TransactionState::kIdle) {
      if (closes && now >= session.active_at + kMinIdleBeforeClose) {
        closing.push_back(id);
      }
    } else if (ends_transactions) {
      m_counters.count("transactions_ended_by_stop");
      closing.push_back(id);
    }
  }
  for (const SessionId id : closing) {
    close(id, now);
  }
}

bool SessionService::should_close_for_stop(TimePoint now) const {
  return m_stopping_since.has_value() && now >= *m_stopping_since + std::min(kLoadBalancerNoticeTime, m_stop_grace / 2);
}

bool SessionService::should_end_transactions(TimePoint now) const {
  return m_stopping_since.has_value() && now >= *m_stopping_since + m_stop_grace / 2;
}

bool SessionService::must_close_for_stop(const Session& session, TimePoint now) const {
  return session.state == TransactionState::kIdle ? should_close_for_stop(now) : should_end_transactions(now);
}

void SessionService::advance_stop(TimePoint now) {
  if (!m_stopping_since.has_value()) {
    return;
  }
  if (now >= *m_stopping_since + m_stop_grace - kStopMargin) {
    end_all_sessions(now);
    m_stopped = true;
  } else if (m_sessions.empty() && m_waiting.empty() && should_close_for_stop(now)) {
    m_stopped = true;
  }
}

void SessionService::end_all_sessions(TimePoint now) {
  std::vector<SessionId> ids;
  for (const auto& [id, session] : m_sessions) {
    ids.push_back(id);
  }
  for (const SessionId id : ids) {
    Session& session = m_sessions.at(id);
    if (session.execution.has_value()) {
      m_counters.count("statements_ended_by_stop");
      m_executor.end_execution(session, "host is stopping", now);
    } else if (session.awaits_token) {
      session.awaits_token = false;
      refuse_for_stop(session);
    }
    close(id, now);
  }
}

void SessionService::close_if_at_rest(SessionId id, TimePoint now) {
  const auto session = m_sessions.find(id);
  if (session == m_sessions.end() || !has_no_statements(session->second)) {
    return;
  }
  const bool closes_for_stop = must_close_for_stop(session->second, now);
  if (closes_for_stop) {
    m_counters.count("sessions_closed_after_answer");
  }
  if (closes_for_stop || session->second.state == TransactionState::kIdle) {
    close(id, now);
  }
}

void SessionService::close(SessionId id, TimePoint now) {
  m_executor.abandon(m_sessions.at(id), now);
  m_sessions.erase(id);
  m_callers.close_session(id);
}

}  // namespace teaselrudder
