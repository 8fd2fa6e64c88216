#include "servers/sessions/statement_executor.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

namespace {

/// Percentage of the latency objective after which a waiting statement is unlikely to meet it.
constexpr std::int64_t kLatePercent = 50;

bool writes(const Session& session, const SessionStatement& statement) {
  switch (statement.kind) {
    case StatementKind::kWrite:
      return true;
    case StatementKind::kCommit:
      return session.transaction_wrote;
    case StatementKind::kExecute: {
      const auto prepared = session.prepared.find(statement.name);
      return prepared != session.prepared.end() && prepared->second.access == StatementAccess::kWrite;
    }
    default:
      return false;
  }
}

}  // namespace

std::string_view to_string(ExecutionPhase phase) {
  switch (phase) {
    case ExecutionPhase::kWaiting:
      return "waiting";
    case ExecutionPhase::kSettingUp:
      return "setting_up";
    case ExecutionPhase::kBeginning:
      return "beginning";
    case ExecutionPhase::kRunning:
      return "running";
    case ExecutionPhase::kConfirming:
      return "confirming";
  }
  return "running";
}

StatementExecutor::StatementExecutor(ExecutorServices services, SessionTable& sessions, ExecutionEvents& events)
    : m_services(std::move(services)),
      m_sessions(sessions),
      m_events(events),
      m_connections(m_services.links, *this, m_services.counters),
      m_random(m_services.random_seed) {}

void StatementExecutor::configure(const std::map<GroupId, ReplicatedGroup>& groups, bool serves_accounts,
                                  TimePoint now) {
  m_serves_accounts = serves_accounts;
  for (const auto& [id, configuration] : groups) {
    m_groups.try_emplace(id, id).first->second.configure(configuration);
  }
  run_maintenance(now);
}

void StatementExecutor::on_member_seen(const MemberEntry& entry, TimePoint now) {
  UpstreamGroup& group = m_groups.try_emplace(entry.group, entry.group).first->second;
  const UpstreamMember* const known = group.find(entry.member);
  const bool restarted = known != nullptr &&
                         (known->entry.started_at_ms != entry.started_at_ms || known->entry.endpoint != entry.endpoint);
  if (known == nullptr || restarted || known->entry.leaving != entry.leaving ||
      known->entry.is_primary != entry.is_primary) {
    m_services.log.log_state_change(
        "member_seen",
        {{"group", entry.group.value()},
         {"member", entry.member.value()},
         {"address", entry.endpoint.ip + ":" + std::to_string(entry.endpoint.port)},
         {"leaving", entry.leaving ? "yes" : "no"},
         {"says", entry.is_primary.has_value() ? (*entry.is_primary ? "primary" : "replica") : "nothing"},
         {"restarted", restarted ? "yes" : "no"}});
  }
  if (restarted) {
    const std::vector<ConnectionId> connections = known->connections;
    for (const ConnectionId connection : connections) {
      m_services.links.close_link(connection);
      on_link_closed(connection, now);
    }
  }
  m_group_of_member[entry.member] = entry.group;
  group.on_member_seen(entry, now);
  dispatch(group, now);
}

void StatementExecutor::on_member_missing(const MemberId& member, bool store_was_unreachable, TimePoint now) {
  const auto group = m_group_of_member.find(member);
  if (group == m_group_of_member.end()) {
    return;
  }
  m_services.log.log_state_change("member_entry_gone", {{"group", group->second.value()},
                                                        {"member", member.value()},
                                                        {"store_was_away", store_was_unreachable ? "yes" : "no"}});
  m_groups.at(group->second).on_member_missing(member, store_was_unreachable, now);
  run_maintenance(now);
}

void StatementExecutor::update_primary(const GroupId& group_id, const MemberId& member, Term term, TimePoint now) {
  UpstreamGroup* const group = find_group(group_id);
  if (group == nullptr || term == Term(0) || group->find(member) == nullptr) {
    return;
  }
  const std::optional<MemberId> former = group->primary();
  if (!group->update_primary(member, term, now)) {
    return;
  }
  m_services.log.log_state_change(
      "primary_learned",
      {{"group", group_id.value()}, {"member", member.value()}, {"term", std::to_string(term.value())}});
  if (former.has_value() && former != member) {
    step_down(*group, *former, now);
  }
  release_withheld(*group, now);
  dispatch(*group, now);
}

void StatementExecutor::step_down(UpstreamGroup& group, const MemberId& former, TimePoint now) {
  const UpstreamMember* const known = group.find(former);
  MemberConnection* const connection = known == nullptr ? nullptr : m_connections.pick_idle_of_any_account(*known);
  if (connection != nullptr) {
    m_connections.send(group, *connection, {make_internal_command(MemberCommandKind::kStepDown, group.term())},
                       {ReplyPurpose::kStepDown}, now);
  }
}

void StatementExecutor::on_lease(const GroupId& group_id, const PrimaryLease& lease, TimePoint now) {
  UpstreamGroup* const group = find_group(group_id);
  if (group == nullptr) {
    return;
  }
  const bool was_requested = group->requests_lease(now);
  group->on_lease(lease, now);
  release_withheld(*group, now);
  if (was_requested) {
    dispatch(*group, now);
  }
}

void StatementExecutor::revoke_leases(const GroupId& group_id, Term replaced, TimePoint now) {
  if (UpstreamGroup* const group = find_group(group_id); group != nullptr) {
    group->revoke_leases(replaced, now);
  }
}

void StatementExecutor::end_revocation(const GroupId& group_id) {
  if (UpstreamGroup* const group = find_group(group_id); group != nullptr) {
    group->end_revocation();
  }
}

void StatementExecutor::on_revoked_elsewhere(const GroupId& group_id, Term term, TimePoint now) {
  if (UpstreamGroup* const group = find_group(group_id); group != nullptr) {
    group->note_revoked_elsewhere(term, now);
  }
}

void StatementExecutor::on_acknowledged_elsewhere(const GroupId& group_id, const LogPoint& position) {
  if (UpstreamGroup* const group = find_group(group_id); group != nullptr) {
    group->note_acknowledged(position);
  }
}

void StatementExecutor::on_connection_lacked_elsewhere(const GroupId& group_id, const MemberId& member, TimePoint now) {
  if (UpstreamGroup* const group = find_group(group_id); group != nullptr) {
    group->on_connection_lacked_elsewhere(member, now);
  }
}

void StatementExecutor::on_reported_position(const GroupId& group_id, const LogPoint& position, TimePoint at) {
  if (UpstreamGroup* const group = find_group(group_id); group != nullptr) {
    group->on_reported_position(position, at);
  }
}

void StatementExecutor::on_evidence(const GroupId& group_id, const LogPoint& position, TimePoint at) {
  if (UpstreamGroup* const group = find_group(group_id); group != nullptr) {
    group->on_primary_position(position, at);
  }
}

bool StatementExecutor::has_members() const {
  return !m_groups.empty() && std::all_of(m_groups.begin(), m_groups.end(),
                                          [](const auto& group) { return !group.second.members().empty(); });
}

bool StatementExecutor::is_isolated(TimePoint now) const {
  return m_in_minority_since.has_value() && std::any_of(m_groups.begin(), m_groups.end(), [now](const auto& group) {
           return !group.second.is_primary_reachable(kUnreachableTimeout, now);
         });
}

std::string StatementExecutor::metrics() const {
  std::string text = m_read_latency.to_prometheus("member_read") + m_write_latency.to_prometheus("member_write") +
                     m_wait_latency.to_prometheus("connection_wait");
  text += "teaselrudder_member_connections " + std::to_string(m_connections.size()) + "\n";
  return text;
}

UpstreamGroup* StatementExecutor::find_group(const GroupId& group) {
  const auto found = m_groups.find(group);
  return found == m_groups.end() ? nullptr : &found->second;
}

Session* StatementExecutor::session_of(const MemberConnection& connection) {
  if (!connection.session.has_value()) {
    return nullptr;
  }
  const auto found = m_sessions.find(*connection.session);
  return found == m_sessions.end() ? nullptr : &found->second;
}

void StatementExecutor::execute(Session& session, SessionStatement statement, TimePoint now) {
  m_retry_budget.on_request();
  StatementExecution& execution = session.execution.emplace();
  execution.arrived_at = now;
  execution.phase_since = now;
  execution.deadline = now + session.route->statement_timeout;
  execution.writes = writes(session, statement);
  execution.statement = std::move(statement);
  UpstreamGroup* const group = find_group(session.route->group);
  if (group == nullptr) {
    refuse(session, StatementErrorCode::kBusy, "group has no members", now);
    return;
  }
  const bool in_transaction = session.state == TransactionState::kOpen;
  const bool only_reads = in_transaction ? session.transaction_read_only : !execution.writes;
  execution.needs_primary = !only_reads || session.route->freshness == ReadFreshness::kPrimary;
  if (in_transaction && execution.writes && session.transaction_read_only) {
    // A replica that has just been promoted would accept the write before its promotion is announced.
    fail_transaction(session, StatementErrorCode::kReadOnly, "transaction is read-only", now);
    return;
  }
  if (in_transaction && execution.writes) {
    session.transaction_wrote = true;
  }
  if (!session.pinned.has_value()) {
    if (!refuse_if_unreachable(session, *group, now)) {
      enqueue(session, *group, now);
    }
    return;
  }
  MemberConnection* const connection = m_connections.find(*session.pinned);
  if (connection == nullptr) {
    session.pinned.reset();
    fail_transaction(session, StatementErrorCode::kAborted, "connection of the transaction was lost", now);
    return;
  }
  execution.connection = connection->id;
  send_statement(session, *group, *connection, now);
}

void StatementExecutor::enqueue(Session& session, UpstreamGroup& group, TimePoint now) {
  std::set<WaitingKey>& waiting = m_waiting[group.id()];
  if (waiting.size() >= kMaxWaiting) {
    refuse(session, StatementErrorCode::kBusy, "too many statements wait", now);
    return;
  }
  session.execution->phase = ExecutionPhase::kWaiting;
  session.execution->connection.reset();
  waiting.insert({session.route->priority, session.execution->arrived_at, session.id});
  schedule_timer(session);
  dispatch(group, now);
}

void StatementExecutor::retry(Session& session, UpstreamGroup& group, const MemberId& failed, StatementErrorCode error,
                              Duration delay, TimePoint now) {
  StatementExecution& execution = *session.execution;
  ++execution.attempts;
  execution.last_error = error;
  execution.not_before = now + delay;
  if (!execution.needs_primary) {
    execution.avoided.insert(failed);
  }
  m_services.counters.count("statement_retries_" + std::string(to_string(error)));
  m_services.log.log_state_change("retry", {{"request", execution.statement.id.value()},
                                            {"group", group.id().value()},
                                            {"member", failed.value()},
                                            {"reason", std::string(to_string(error))},
                                            {"phase", std::string(to_string(execution.phase))},
                                            {"attempt", std::to_string(execution.attempts)},
                                            {"age_ms", std::to_string(to_milliseconds(now - execution.arrived_at))}});
  execution.phase_since = now;
  enqueue(session, group, now);
}

void StatementExecutor::dispatch(UpstreamGroup& group, TimePoint now) {
  const auto found = m_waiting.find(group.id());
  if (found == m_waiting.end()) {
    return;
  }
  // Statements that can still meet their latency objective go first. Otherwise, in an overload, the oldest statements
  // would all be served slightly too late.
  dispatch_waiting(group, found->second, false, now);
  dispatch_waiting(group, found->second, true, now);
}

void StatementExecutor::dispatch_waiting(UpstreamGroup& group, std::set<WaitingKey>& waiting, bool late,
                                         TimePoint now) {
  // Assigning a statement may remove others from the set, so the next one is found by key instead of by iterator.
  std::optional<WaitingKey> last;
  while (true) {
    const auto next = last.has_value() ? waiting.upper_bound(*last) : waiting.begin();
    if (next == waiting.end()) {
      return;
    }
    last = *next;
    const auto session = m_sessions.find(std::get<SessionId>(*next));
    if (session == m_sessions.end() || !session->second.execution.has_value()) {
      waiting.erase(next);
      continue;
    }
    const Duration age = now - session->second.execution->arrived_at;
    const bool is_late = age > session->second.route->objective * kLatePercent / 100;
    if (is_late == late && try_assign(session->second, group, now)) {
      waiting.erase(*last);
    }
  }
}

std::size_t StatementExecutor::active_connections(const UpstreamMember& member) {
  return static_cast<std::size_t>(
      std::count_if(member.connections.begin(), member.connections.end(), [this](ConnectionId id) {
        const MemberConnection* const connection = m_connections.find(id);
        return connection != nullptr && connection->open && !connection->expected.empty();
      }));
}

std::optional<LogPoint> StatementExecutor::required_position_of(const Session& session,
                                                                const UpstreamGroup& group) const {
  const auto own = session.own_commits.find(group.id());
  const std::optional<LogPoint> own_commit =
      own == session.own_commits.end() ? std::nullopt : std::optional<LogPoint>(own->second);
  const TimePoint began =
      session.state == TransactionState::kOpen ? session.transaction_began : session.execution->arrived_at;
  return required_position(group, *session.route, own_commit, began);
}

std::optional<LogPoint> StatementExecutor::required_position_at(const Session& session, const UpstreamGroup& group,
                                                                const MemberId& member) const {
  const std::optional<LogPoint> required = required_position_of(session, group);
  return group.primary() == member ? guard_position(group, required) : required;
}

bool StatementExecutor::may_use_primary(const Session& session, const UpstreamGroup& group) const {
  const bool in_transaction = session.state == TransactionState::kOpen;
  if (session.execution->writes && !in_transaction && may_commit_without_lease(group)) {
    return true;
  }
  const TimePoint began = in_transaction ? session.transaction_began : session.execution->arrived_at;
  return group.primary_holds_commits_before(oldest_allowed(*session.route, began));
}

std::vector<MemberId> StatementExecutor::candidates(const Session& session, UpstreamGroup& group, TimePoint now) {
  const StatementExecution& execution = *session.execution;
  const std::optional<LogPoint> required =
      execution.needs_primary ? std::nullopt : required_position_of(session, group);
  const bool primary_is_current = may_use_primary(session, group);
  if (!primary_is_current && !required.has_value()) {
    group.request_lease(now);
    m_requests_lease = true;
  }
  if (execution.needs_primary) {
    const std::optional<MemberId> primary = primary_is_current ? usable_primary(group, now) : std::nullopt;
    return primary.has_value() ? std::vector<MemberId>{*primary} : std::vector<MemberId>{};
  }
  const ReadNeeds needs{required, primary_is_current, execution.avoided, m_services.own_domain};
  return rank_read_candidates(
      group, needs, [this](const UpstreamMember& member) { return active_connections(member); }, now);
}

bool StatementExecutor::refuse_if_unreachable(Session& session, const UpstreamGroup& group, TimePoint now) {
  if (!m_in_minority_since.has_value() || group.is_primary_reachable(kUnreachableTimeout, now)) {
    return false;
  }
  const StatementExecution& execution = *session.execution;
  if (!execution.needs_primary && required_position_of(session, group).has_value()) {
    return false;
  }
  const bool lacks_evidence = !execution.needs_primary;
  if (session.state == TransactionState::kOpen) {
    fail_transaction(session, StatementErrorCode::kAborted, "host is cut off from the primary", now);
  } else {
    refuse(session, lacks_evidence ? StatementErrorCode::kLagging : StatementErrorCode::kBusy,
           "host is cut off from the primary", now);
  }
  return true;
}

bool StatementExecutor::try_assign(Session& session, UpstreamGroup& group, TimePoint now) {
  const StatementExecution& execution = *session.execution;
  if (now < execution.not_before) {
    return false;
  }
  const bool begins_transaction = session.state == TransactionState::kOpen;
  UpstreamMember* to_open = nullptr;
  for (const MemberId& id : candidates(session, group, now)) {
    UpstreamMember& member = *group.find(id);
    // One connection is kept free of callers' transactions. They hold a connection also while the caller pauses, and
    // single statements would have to wait for it.
    const std::size_t limit = m_connections.limit(group, member, now);
    if (begins_transaction && m_connections.pinned_count(member) + 1 >= limit && limit > 1) {
      continue;
    }
    if (member.connections.size() > limit) {
      m_connections.close_above_limit(group, member, now);
    }
    if (!member.window.admits(active_connections(member))) {
      continue;
    }
    MemberConnection* const connection = m_connections.pick_idle(member, session.account, session.values);
    if (connection != nullptr) {
      assign(session, group, *connection, now);
      return true;
    }
    if (to_open == nullptr) {
      m_connections.close_idle_of_other_account(group, member, session.account, now);
    }
    if (to_open == nullptr && m_connections.may_open(group, member, session.account, now)) {
      to_open = &member;
    }
  }
  if (to_open != nullptr) {
    m_connections.open(group, *to_open, session.account, now);
  }
  return false;
}

void StatementExecutor::assign(Session& session, UpstreamGroup& group, MemberConnection& connection, TimePoint now) {
  StatementExecution& execution = *session.execution;
  const bool in_transaction = session.state == TransactionState::kOpen;
  connection.session = session.id;
  execution.connection = connection.id;
  execution.phase_since = now;
  m_wait_latency.record(now - execution.arrived_at);
  if (!in_transaction) {
    if (execution.writes && connection.last_reply_at + kCheckAfter < now) {
      connection.session_state.values.reset();
    }
    send_statement(session, group, connection, now);
    return;
  }
  MemberCommand begin = make_internal_command(session.transaction_read_only ? MemberCommandKind::kBeginReadOnly
                                                                            : MemberCommandKind::kBegin);
  begin.required = required_position_at(session, group, connection.member);
  std::vector<MemberCommand> commands = plan_values(connection.session_state, session.values);
  std::vector<ReplyPurpose> purposes(commands.size(), ReplyPurpose::kSetup);
  commands.push_back(begin);
  purposes.push_back(ReplyPurpose::kBegin);
  connection.in_transaction = true;
  connection.pinned = true;
  session.pinned = connection.id;
  execution.phase = ExecutionPhase::kBeginning;
  m_connections.send(group, connection, commands, purposes, now);
  schedule_timer(session);
}

bool StatementExecutor::set_up(Session& session, UpstreamGroup& group, MemberConnection& connection, TimePoint now) {
  const std::vector<MemberCommand> commands = plan_values(connection.session_state, session.values);
  if (commands.empty()) {
    return false;
  }
  session.execution->phase = ExecutionPhase::kSettingUp;
  session.execution->phase_since = now;
  m_connections.send(group, connection, commands, std::vector<ReplyPurpose>(commands.size(), ReplyPurpose::kSetup),
                     now);
  schedule_timer(session);
  return true;
}

std::optional<PreparedStatement> StatementExecutor::needed_statement(const Session& session) const {
  const SessionStatement& statement = session.execution->statement;
  if (statement.kind != StatementKind::kExecute) {
    return std::nullopt;
  }
  const auto found = session.prepared.find(statement.name);
  return found == session.prepared.end() ? std::nullopt : std::optional<PreparedStatement>(found->second);
}

MemberCommand StatementExecutor::command_for(const Session& session, const MemberConnection& connection) const {
  const SessionStatement& statement = session.execution->statement;
  MemberCommand command;
  command.id = statement.id;
  command.argument = statement.argument;
  switch (statement.kind) {
    case StatementKind::kWrite:
      command.kind = MemberCommandKind::kWrite;
      break;
    case StatementKind::kCommit:
      command.kind = MemberCommandKind::kCommit;
      break;
    case StatementKind::kExecute: {
      const PreparedStatement prepared = needed_statement(session).value_or(PreparedStatement{});
      command.kind = MemberCommandKind::kExecute;
      command.name = connection.session_state.prepared.at(prepared);
      command.access = prepared.access;
      break;
    }
    default:
      command.kind = MemberCommandKind::kRead;
      break;
  }
  return command;
}

void StatementExecutor::send_statement(Session& session, UpstreamGroup& group, MemberConnection& connection,
                                       TimePoint now) {
  if (set_up(session, group, connection, now)) {
    return;
  }
  StatementExecution& execution = *session.execution;
  std::vector<MemberCommand> commands;
  std::vector<ReplyPurpose> purposes;
  if (const auto needed = needed_statement(session); needed.has_value()) {
    if (auto prepare = plan_prepare(connection.session_state, *needed); prepare.has_value()) {
      commands.push_back(std::move(*prepare));
      purposes.push_back(ReplyPurpose::kPrepare);
    }
  }
  commands.push_back(command_for(session, connection));
  purposes.push_back(ReplyPurpose::kStatement);
  const bool single_read = !connection.in_transaction && !execution.writes;
  if (single_read) {
    commands.back().required = required_position_at(session, group, connection.member);
  }
  if (execution.writes && (!connection.in_transaction || execution.statement.kind == StatementKind::kCommit)) {
    group.on_commit_sent(now);
    if (const auto leader = group.announced_leader();
        leader.has_value() && !group.may_acknowledge(*leader, now + kLeaseRequestLead)) {
      group.request_lease(now);
      m_requests_lease = true;
    }
  }
  execution.phase = ExecutionPhase::kRunning;
  execution.phase_since = now;
  m_connections.send(group, connection, commands, purposes, now);
  schedule_timer(session);
}

void StatementExecutor::release(MemberConnection& connection) {
  connection.session.reset();
  connection.pinned = false;
}

void StatementExecutor::send_rollback(UpstreamGroup& group, MemberConnection& connection, TimePoint now) {
  release(connection);
  m_connections.send(group, connection, {make_internal_command(MemberCommandKind::kRollback)},
                     {ReplyPurpose::kRollback}, now);
}

void StatementExecutor::roll_back(Session& session, TimePoint now) {
  if (!session.pinned.has_value()) {
    return;
  }
  MemberConnection* const connection = m_connections.find(*session.pinned);
  session.pinned.reset();
  if (connection == nullptr) {
    return;
  }
  UpstreamGroup& group = *find_group(connection->group);
  if (connection->expected.empty()) {
    send_rollback(group, *connection, now);
    return;
  }
  // A reply is still outstanding, so the transaction is ended by closing the connection.
  m_connections.close(group, connection->id);
}

void StatementExecutor::abandon(Session& session, TimePoint now) {
  m_timers.cancel(session.id);
  if (session.execution.has_value()) {
    const StatementExecution execution = *session.execution;
    session.execution.reset();
    if (session.route.has_value()) {
      m_waiting[session.route->group].erase({session.route->priority, execution.arrived_at, session.id});
    }
    MemberConnection* const connection =
        execution.connection.has_value() ? m_connections.find(*execution.connection) : nullptr;
    if (connection != nullptr) {
      const bool commits = execution.statement.kind == StatementKind::kCommit;
      const bool may_complete = execution.phase == ExecutionPhase::kRunning && (!connection->in_transaction || commits);
      if (may_complete) {
        release(*connection);
        session.pinned.reset();
      } else {
        session.pinned.reset();
        m_connections.close(*find_group(connection->group), connection->id);
      }
    }
  }
  roll_back(session, now);
}

void StatementExecutor::finish(Session& session, StatementReply reply, TimePoint now) {
  m_timers.cancel(session.id);
  session.execution.reset();
  reply.state = session.state;
  m_events.on_executed(session.id, std::move(reply), now);
}

void StatementExecutor::refuse(Session& session, StatementErrorCode code, const std::string& cause, TimePoint now) {
  const StatementExecution& execution = *session.execution;
  m_waiting[session.route->group].erase({session.route->priority, execution.arrived_at, session.id});
  m_services.counters.count("statements_refused_" + std::string(to_string(code)));
  const UpstreamGroup* const group = find_group(session.route->group);
  const std::string primary = group != nullptr && group->primary().has_value() ? group->primary()->value() : "none";
  const auto newest = group != nullptr ? group->evidence().newest() : std::nullopt;
  const std::string evidence_age =
      newest.has_value() ? std::to_string(to_milliseconds(now - newest->requested_at)) : "none";
  m_services.log.log_state_change(
      "refused",
      {{"request", execution.statement.id.value()},
       {"session", std::to_string(session.id.value())},
       {"group", session.route->group.value()},
       {"code", std::string(to_string(code))},
       {"ran", is_not_run(code) || code == StatementErrorCode::kAborted ? "no" : "unknown"},
       {"cause", cause},
       {"phase", std::string(to_string(execution.phase))},
       {"attempts", std::to_string(execution.attempts)},
       {"last_error", execution.last_error.has_value() ? std::string(to_string(*execution.last_error)) : "none"},
       {"age_ms", std::to_string(to_milliseconds(now - execution.arrived_at))},
       {"primary", primary},
       {"term", group != nullptr ? std::to_string(group->term().value()) : "0"},
       {"evidence_age_ms", evidence_age}});
  StatementReply reply;
  reply.error = code;
  reply.error_text = cause;
  finish(session, std::move(reply), now);
}

void StatementExecutor::fail_transaction(Session& session, StatementErrorCode code, const std::string& cause,
                                         TimePoint now) {
  roll_back(session, now);
  const bool ends = session.execution->statement.kind == StatementKind::kCommit;
  session.state = ends ? TransactionState::kIdle : TransactionState::kFailed;
  refuse(session, code, cause, now);
}

}  // namespace teaselrudder
