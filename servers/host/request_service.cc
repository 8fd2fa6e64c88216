#include "servers/host/request_service.h"

#include <algorithm>

#include "servers/group/read_router.h"

namespace teaselrudder {

namespace {

// Limits the load that the retries of one request can cause. Does not apply to retries that need no retry budget.
constexpr std::uint32_t kMaxAttempts = 8;
// Interval at which a waiting read is routed again, in case a replica has become recent enough.
constexpr Duration kReplicaPollInterval = std::chrono::milliseconds(5);
// Interval at which a request that waits for the primary is routed again. A change of the primary triggers that at
// once, so the interval only limits the delay if such an event is missed.
constexpr Duration kPrimaryPollInterval = std::chrono::milliseconds(500);
// Limits the memory of one host. At 520 hosts and 980,000 statements/s, a host handles about 1,900 requests a second.
constexpr std::size_t kMaxOpenRequests = 50000;
// Delay before another attempt to resolve a write of unknown outcome.
constexpr Duration kResolveRetryDelay = std::chrono::milliseconds(50);
// Time reserved for the answer of another host to travel back, so a forwarded request gets a deadline that is earlier
// by this much.
constexpr Duration kForwardMargin = std::chrono::milliseconds(20);
// The connection of a read is given up after this multiple of the read's expected duration, or after
// HostSettings::min_answer_timeout if that is longer.
constexpr std::int64_t kAnswerTimeoutFactor = 10;
// Expected duration of operations whose durations are not recorded: resolving writes, and the control of transactions.
constexpr Duration kExpectedUnrecordedDuration = std::chrono::milliseconds(2);

std::string shape_of(const std::vector<Statement>& statements) {
  std::string shape;
  for (const Statement& statement : statements) {
    shape += statement_shape(statement.sql);
    shape += ';';
    if (shape.size() > kMaxShapeLength) {
      break;
    }
  }
  return shape;
}

// Single reads can be repeated on another member even if they may have run.
bool can_run_elsewhere(const RequestEnvelope& envelope) {
  return envelope.step == TransactionStep::kNone && envelope.read_only;
}

// Returns whether the refusal of another host is caused by that host and not by the request, so that another route may
// succeed.
bool is_retriable_elsewhere(const RefusedRequest& refused) {
  if (refused.refusal.ran != Ran::kNo) {
    return false;
  }
  switch (refused.refusal.reason) {
    case RefusalReason::kStopping:
    case RefusalReason::kTooManyForwards:
    case RefusalReason::kUnknownService:
    case RefusalReason::kOwnerUnreachable:
      return true;
    default:
      return false;
  }
}

}  // namespace

RequestService::RequestService(HostContext& context, GroupDirectory& groups, RequestSink& sink)
    : m_context(context),
      m_groups(groups),
      m_sink(sink),
      m_router(context, groups),
      m_outcomes(context, groups, *this),
      m_transactions(context, groups, *this, m_outcomes),
      m_shared_reads(context, groups, *this) {}

void RequestService::start(const Origin& origin, RequestEnvelope envelope, TimePoint now) {
  const auto id = m_context.ids.next<ExecutionId>();
  Execution execution(id, origin, std::move(envelope), m_context.charts.request, now);
  execution.pending_refusal = make_refusal(RefusalReason::kQueueDeadline, Ran::kNo, "the deadline passed");
  Execution& added = m_executions.emplace(id, std::move(execution)).first->second;
  m_origins.emplace(origin, id);
  m_timers.schedule(id, added.deadline);
  m_retry_budget.on_request();
  if (added.envelope.hops > kMaxForwardHops) {
    refuse(added, make_refusal(RefusalReason::kTooManyForwards, Ran::kNo, "the request crossed too many hosts"), now);
    return;
  }
  if (m_executions.size() > kMaxOpenRequests) {
    refuse(added, make_refusal(RefusalReason::kQueueFull, Ran::kNo, "too many requests are open on this host"), now);
    return;
  }
  const TransactionStep step = added.envelope.step;
  if (step == TransactionStep::kNone || step == TransactionStep::kBegin) {
    route(added, now);
    return;
  }
  m_transactions.run_step(added, now);
}

void RequestService::cancel(const Origin& origin, TimePoint now) {
  const auto found = m_origins.find(origin);
  if (found == m_origins.end()) {
    return;
  }
  Execution& execution = m_executions.at(found->second);
  MemberExecutor* executor = executor_of(execution);
  if (execution.work.has_value() && executor != nullptr) {
    executor->withdraw(*execution.work, now);
  }
  m_context.counters.count("requests_cancelled");
  execution.chart.fire(RequestEvent::kFinish);
  release_resources(execution, now);
  m_executions.erase(execution.id);
}

void RequestService::on_forward_answered(ExecutionId id, const HostId& host,
                                         tl::expected<RequestOutcome, PeerError> outcome, TimePoint now) {
  Execution* const execution = find(id);
  if (execution == nullptr || execution->chart.state() != RequestState::kForwarded) {
    return;
  }
  if (outcome.has_value()) {
    RequestOutcome& answered = *outcome;
    if (!answered.has_value() && is_retriable_elsewhere(answered.error())) {
      execution->excluded_hosts.insert(host);
      execution->pending_refusal = answered.error().refusal;
      retry(*execution, RetryReason::kOwnerUnreachable, false, now);
      return;
    }
    finish(*execution, std::move(answered), now);
    return;
  }
  execution->excluded_hosts.insert(host);
  const bool delivered = outcome.error().may_have_been_delivered;
  const Ran ran = delivered ? Ran::kUnknown : Ran::kNo;
  execution->pending_refusal =
      make_refusal(RefusalReason::kOwnerUnreachable, ran, "host " + host.value() + " could not be reached");
  const TransactionStep step = execution->envelope.step;
  if (step != TransactionStep::kNone && step != TransactionStep::kBegin) {
    refuse(*execution, execution->pending_refusal, now);
    return;
  }
  if (!delivered) {
    retry(*execution, RetryReason::kOwnerUnreachable, false, now);
    return;
  }
  if (can_run_elsewhere(execution->envelope)) {
    retry(*execution, RetryReason::kOwnerLost, true, now);
    return;
  }
  execution->may_have_run = true;
  m_outcomes.resolve_write(*execution, now);
}

void RequestService::on_work_ended(const MemberWorkEnded& ended, TimePoint now) {
  const auto found = m_work.find(ended.outcome.work);
  if (found == m_work.end()) {
    return;
  }
  Execution* const execution = find(found->second);
  m_work.erase(found);
  if (execution == nullptr || execution->work != ended.outcome.work) {
    return;
  }
  execution->work.reset();
  if (const auto* refused = std::get_if<WorkRefused>(&ended.outcome.end)) {
    on_work_refused(*execution, *refused, now);
    return;
  }
  const WorkEnded& work = std::get<WorkEnded>(ended.outcome.end);
  if (execution->purpose == WorkPurpose::kResolveWrite) {
    m_outcomes.on_resolve_write_ended(*execution, work, now);
    return;
  }
  const bool is_step = execution->purpose == WorkPurpose::kStep || execution->purpose == WorkPurpose::kCommit ||
                       execution->purpose == WorkPurpose::kRollback;
  if (is_step) {
    m_transactions.on_step_ended(*execution, work, now);
    return;
  }
  if (!work.result.has_value()) {
    on_work_failed(*execution, work, now);
    return;
  }
  const auto* const result = std::get_if<StatementsResult>(&*work.result);
  if (result == nullptr) {
    refuse(*execution,
           make_refusal(RefusalReason::kInternal, Ran::kUnknown, "the upstream's result does not match the operation"),
           now);
    return;
  }
  if (execution->purpose == WorkPurpose::kBegin) {
    m_transactions.on_begin_ended(*execution, *result, work, now);
    return;
  }
  on_run_ended(*execution, *result, work, now);
}

void RequestService::on_confirmation_done(const GroupId& group, const ConfirmationDone& done, TimePoint now) {
  m_outcomes.on_confirmation_done(group, done, now);
}

void RequestService::on_primary_changed(const GroupId& group, TimePoint now) {
  std::vector<ExecutionId> woken;
  for (const auto& [id, execution] : m_executions) {
    const RequestState state = execution.chart.state();
    const bool waits = state == RequestState::kWaiting || (state == RequestState::kSettling && !execution.work);
    if (execution.envelope.group == group && waits) {
      woken.push_back(id);
    }
  }
  for (const ExecutionId id : woken) {
    Execution* const execution = find(id);
    if (execution == nullptr) {
      continue;
    }
    if (execution->chart.state() == RequestState::kSettling) {
      m_outcomes.try_resolve_write(*execution, now);
      continue;
    }
    execution->chart.fire(RequestEvent::kRoute);
    route(*execution, now);
  }
}

void RequestService::on_tick(TimePoint now) {
  for (const ExecutionId id : m_timers.take_due(now)) {
    Execution* const execution = find(id);
    if (execution == nullptr) {
      continue;
    }
    if (now >= execution->deadline) {
      on_deadline(*execution, now);
      continue;
    }
    m_timers.schedule(id, execution->deadline);
    if (execution->chart.state() == RequestState::kWaiting) {
      execution->chart.fire(RequestEvent::kRoute);
      route(*execution, now);
    } else if (execution->chart.state() == RequestState::kSettling && !execution->work.has_value()) {
      m_outcomes.try_resolve_write(*execution, now);
    }
  }
  m_transactions.on_tick(now);
}

std::optional<TimePoint> RequestService::next_wakeup() const {
  std::optional<TimePoint> earliest = m_timers.next();
  if (const std::optional<TimePoint> idle = m_transactions.next_wakeup()) {
    earliest = earliest.has_value() ? std::min(*earliest, *idle) : *idle;
  }
  return earliest;
}

void RequestService::route(Execution& execution, TimePoint now) {
  const RouteDecision decision = m_router.route(execution, now);
  if (const auto* local = std::get_if<RouteLocal>(&decision)) {
    run_locally(execution, *local, now);
  } else if (const auto* remote = std::get_if<RouteForward>(&decision)) {
    forward(execution, remote->host, remote->target, remote->term, now);
  } else if (const auto* waiting = std::get_if<RouteWait>(&decision)) {
    wait(execution, waiting->reason, waiting->until, now);
  } else {
    refuse(execution, make_refusal(std::get<RouteRefuse>(decision).reason, Ran::kNo, "the group is not configured"),
           now);
  }
}

void RequestService::run_locally(Execution& execution, const RouteLocal& decision, TimePoint now) {
  execution.member = decision.member;
  execution.term = decision.term;
  const RequestEnvelope& envelope = execution.envelope;
  if (envelope.step == TransactionStep::kBegin) {
    submit(execution, BeginTransaction{decision.term, envelope.read_only, envelope.request_id}, WorkPurpose::kBegin,
           std::nullopt, now);
    return;
  }
  if (m_shared_reads.join(execution, now)) {
    return;
  }
  submit(execution, RunStatements{decision.term, envelope.statements, envelope.read_only, envelope.request_id},
         WorkPurpose::kRun, std::nullopt, now);
}

void RequestService::forward(Execution& execution, const HostId& host, const std::optional<MemberId>& target, Term term,
                             TimePoint now) {
  const Duration remaining = execution.deadline - now - kForwardMargin;
  if (remaining <= Duration::zero()) {
    refuse(execution, execution.pending_refusal, now);
    return;
  }
  RequestEnvelope envelope = execution.envelope;
  envelope.hops += 1;
  envelope.target = target;
  envelope.term = term;
  envelope.remaining = remaining;
  execution.chart.fire(RequestEvent::kForward);
  m_context.counters.count("requests_forwarded");
  if (!m_sink.forward_request(execution.id, host, std::move(envelope), execution.deadline - now, now)) {
    execution.excluded_hosts.insert(host);
    retry(execution, RetryReason::kOwnerUnreachable, false, now);
  }
}

void RequestService::wait(Execution& execution, RefusalReason reason, TimePoint until, TimePoint now) {
  execution.pending_refusal = make_refusal(reason, Ran::kNo, "nothing could serve the request before its deadline");
  if (now >= until) {
    refuse(execution, execution.pending_refusal, now);
    return;
  }
  execution.chart.fire(RequestEvent::kWait);
  // The excluded members may have caught up when the request is routed again.
  execution.excluded_members.clear();
  const bool for_primary = reason == RefusalReason::kNoPrimary || reason == RefusalReason::kNoMajority;
  const Duration interval = for_primary ? kPrimaryPollInterval : kReplicaPollInterval;
  m_timers.schedule(execution.id, std::min(until, now + interval));
}

void RequestService::retry(Execution& execution, RetryReason reason, bool use_retry_budget, TimePoint now) {
  ++execution.attempts;
  // A request that certainly did not run may be retried until its deadline, for example during a failover; the delay
  // between the attempts limits their number. Other retries count against the limit and the retry budget.
  if (use_retry_budget && execution.attempts >= kMaxAttempts) {
    refuse(execution, execution.pending_refusal, now);
    return;
  }
  if (use_retry_budget && !m_retry_budget.try_spend()) {
    refuse(execution,
           make_refusal(RefusalReason::kRetryBudgetExhausted, execution.pending_refusal.ran,
                        "a retry was due, but the retry budget is spent"),
           now);
    return;
  }
  m_context.counters.count_retry(reason);
  execution.chart.fire(RequestEvent::kWait);
  const Duration delay = retry_delay(execution.attempts - 1, m_context.random.next_double());
  m_timers.schedule(execution.id, std::min(execution.deadline, now + delay));
}

void RequestService::submit(Execution& execution, UpstreamOperation operation, WorkPurpose purpose,
                            std::optional<ConnectionId> connection, TimePoint now) {
  execution.chart.fire(purpose == WorkPurpose::kResolveWrite ? RequestEvent::kSettle : RequestEvent::kEnqueue);
  execution.purpose = purpose;
  MemberExecutor* const executor = executor_of(execution);
  if (executor == nullptr) {
    on_work_refused(execution, WorkRefused{RefusalReason::kNoPrimary, std::nullopt}, now);
    return;
  }
  MemberWork work = make_work(execution, std::move(operation), executor->durations(), connection, now);
  const WorkId id = work.queued.id;
  execution.work = id;
  m_work.emplace(id, execution.id);
  const auto admitted = executor->submit(std::move(work), now);
  if (!admitted.has_value()) {
    m_work.erase(id);
    execution.work.reset();
    on_work_refused(execution, admitted.error(), now);
  }
}

MemberWork RequestService::make_work(const Execution& execution, UpstreamOperation operation,
                                     const DurationEstimator& durations, std::optional<ConnectionId> connection,
                                     TimePoint now) {
  MemberWork work;
  work.operation = std::move(operation);
  work.connection = connection;
  work.keep_connection = execution.purpose == WorkPurpose::kBegin || execution.purpose == WorkPurpose::kStep;
  work.service = execution.envelope.service;
  if (execution.purpose == WorkPurpose::kRun || execution.purpose == WorkPurpose::kStep) {
    work.shape = shape_of(execution.envelope.statements);
  }
  QueuedWork& queued = work.queued;
  queued.id = m_context.ids.next<WorkId>();
  queued.urgency = execution.envelope.urgency;
  queued.in_transaction = connection.has_value() || execution.purpose == WorkPurpose::kResolveWrite;
  queued.deadline = execution.deadline;
  queued.expected = work.shape.empty() ? kExpectedUnrecordedDuration : durations.expected(work.service, work.shape);
  queued.is_long = !work.shape.empty() && durations.is_long(work.service, work.shape);
  // A read can be repeated on another member, so its connection is given up early. That happens only on the first
  // attempt, because a read that is not known to take long would be interrupted at each attempt. A write keeps its
  // connection for at least half of the remaining time; the rest is reserved for resolving it.
  const Duration remaining = execution.deadline - now;
  const Duration timeout = std::max(m_context.settings.min_answer_timeout, queued.expected * kAnswerTimeoutFactor);
  const bool may_retry = can_run_elsewhere(execution.envelope) && execution.attempts == 0;
  work.answer_timeout = may_retry ? std::min(timeout, remaining) : remaining;
  if (!execution.envelope.read_only && execution.purpose != WorkPurpose::kResolveWrite) {
    work.answer_timeout = std::max(remaining / 2, std::min(timeout, remaining));
  }
  return work;
}

void RequestService::on_work_refused(Execution& execution, const WorkRefused& refused, TimePoint now) {
  Refusal refusal = make_refusal(refused.reason, Ran::kNo, "the member's queue did not take the request");
  refusal.retry_after = refused.retry_after;
  execution.pending_refusal = refusal;
  if (execution.purpose == WorkPurpose::kResolveWrite) {
    wake_at(execution, now + kResolveRetryDelay);
    return;
  }
  m_shared_reads.on_failure(execution, SharedFailure::kExecution, now);
  // A read may try another member once. A write can only run on the primary.
  if (can_run_elsewhere(execution.envelope) && execution.attempts == 0 && refused.reason == RefusalReason::kQueueFull) {
    execution.excluded_members.insert(execution.member);
    execution.envelope.target.reset();
    retry(execution, RetryReason::kConnectFailed, true, now);
    return;
  }
  refuse(execution, std::move(refusal), now);
}

void RequestService::on_work_failed(Execution& execution, const WorkEnded& ended, TimePoint now) {
  const UpstreamError& error = ended.result.error();
  const SharedFailure failure =
      error.kind == UpstreamErrorKind::kStatementFailed ? SharedFailure::kStatement : SharedFailure::kExecution;
  Refusal refusal = make_refusal(reason_of(error), error.may_have_run ? Ran::kUnknown : Ran::kNo, error.message);
  refusal.sqlstate = error.sqlstate;
  if (ended.timed_out) {
    refusal.reason = RefusalReason::kUpstreamTimeout;
  }
  execution.pending_refusal = refusal;
  m_shared_reads.on_failure(execution, failure, now);
  if (error.kind == UpstreamErrorKind::kStatementFailed) {
    refuse(execution, std::move(refusal), now);
    return;
  }
  execution.envelope.target.reset();
  if (error.kind == UpstreamErrorKind::kNotPrimaryInTerm) {
    retry(execution, RetryReason::kPrimaryChanged, false, now);
    return;
  }
  if (!error.may_have_run) {
    if (can_run_elsewhere(execution.envelope)) {
      execution.excluded_members.insert(execution.member);
    }
    retry(execution, RetryReason::kConnectFailed, can_run_elsewhere(execution.envelope), now);
    return;
  }
  if (can_run_elsewhere(execution.envelope)) {
    execution.excluded_members.insert(execution.member);
    retry(execution, ended.timed_out ? RetryReason::kUnresponsiveConnection : RetryReason::kConnectionLost, true, now);
    return;
  }
  if (execution.purpose == WorkPurpose::kBegin) {
    // The transaction was begun at most, and the member rolled it back when the connection closed.
    refusal.ran = Ran::kNo;
    refuse(execution, std::move(refusal), now);
    return;
  }
  execution.may_have_run = true;
  m_outcomes.resolve_write(execution, now);
}

void RequestService::on_run_ended(Execution& execution, const StatementsResult& result, const WorkEnded& ended,
                                  TimePoint now) {
  if (GroupRuntime* runtime = m_groups.find(execution.envelope.group)) {
    runtime->group().on_operation_report(execution.member, result.after, ended.started, now);
  }
  if (execution.envelope.read_only) {
    on_read_ended(execution, result, ended, now);
    return;
  }
  execution.may_have_run = true;
  if (result.already_recorded) {
    execution.pending_refusal =
        make_refusal(RefusalReason::kDuplicateRequest, Ran::kUnknown, "a request with this id is recorded already");
    m_outcomes.resolve_write(execution, now);
    return;
  }
  execution.answer.results = result.results;
  execution.answer.served_by = execution.member;
  execution.answer.by_primary = true;
  execution.answer.request_id = execution.envelope.request_id;
  m_outcomes.confirm(execution, result.after, ConfirmationPurpose::kWrite, now);
}

void RequestService::on_read_ended(Execution& execution, const StatementsResult& result, const WorkEnded& ended,
                                   TimePoint now) {
  if (execution.shared.has_value()) {
    m_shared_reads.on_answer(execution, result, ended, now);
    return;
  }
  const GroupRuntime* const runtime = m_groups.find(execution.envelope.group);
  const bool confirmed_read = needs_confirmed_primary(execution.envelope);
  ReadRequirement requirement{execution.envelope.session, execution.envelope.freshness, execution.envelope.max_age};
  if (confirmed_read) {
    requirement.freshness = Freshness::kFresh;
  }
  const bool acceptable =
      runtime != nullptr && read_is_acceptable(runtime->group(), requirement, result.before, ended.started);
  // Without a recent enough freshness sample, the age of the primary's data is not proven. A majority's confirmation
  // that it is still the primary proves it.
  const bool confirmable = confirmed_read ? acceptable : !acceptable && result.before.is_primary;
  execution.answer.results = result.results;
  execution.answer.served_by = execution.member;
  execution.answer.by_primary = result.before.is_primary;
  execution.answer.request_id = execution.envelope.request_id;
  execution.answer.session = execution.envelope.session;
  if (confirmable) {
    execution.term = result.before.raised_term;
    m_outcomes.confirm(execution, result.after, ConfirmationPurpose::kRead, now);
    return;
  }
  if (!acceptable) {
    execution.pending_refusal =
        make_refusal(RefusalReason::kNoFreshReplica, Ran::kNo, "the member did not satisfy the required freshness");
    execution.excluded_members.insert(execution.member);
    execution.envelope.target.reset();
    retry(execution, RetryReason::kReplicaBehind, false, now);
    return;
  }
  count_read(m_context.counters, execution);
  succeed(execution, now);
}

void RequestService::on_deadline(Execution& execution, TimePoint now) {
  switch (execution.chart.state()) {
    case RequestState::kExecuting: {
      MemberExecutor* const executor = executor_of(execution);
      const bool withdrawn =
          execution.work.has_value() && executor != nullptr && executor->withdraw(*execution.work, now);
      if (withdrawn || (execution.shared.has_value() && !execution.work.has_value())) {
        refuse(execution, make_refusal(RefusalReason::kQueueDeadline, Ran::kNo, "the deadline passed in the queue"),
               now);
        return;
      }
      refuse(execution,
             make_refusal(RefusalReason::kUpstreamTimeout, Ran::kUnknown, "the upstream did not answer in time"), now);
      return;
    }
    case RequestState::kConfirming:
      refuse(execution,
             make_refusal(RefusalReason::kConfirmationTimeout,
                          execution.confirmation_purpose == ConfirmationPurpose::kRead ? Ran::kNo : Ran::kUnknown,
                          "no majority confirmed before the deadline"),
             now);
      return;
    case RequestState::kForwarded:
      refuse(execution,
             make_refusal(RefusalReason::kOwnerUnreachable, Ran::kUnknown, "the owner did not answer in time"), now);
      return;
    case RequestState::kSettling: {
      Refusal refusal = execution.pending_refusal;
      refusal.ran = Ran::kUnknown;
      refuse(execution, std::move(refusal), now);
      return;
    }
    default:
      refuse(execution, execution.pending_refusal, now);
  }
}

void RequestService::refuse(Execution& execution, Refusal refusal, TimePoint now) {
  SessionPosition session = execution.envelope.session;
  const bool write_unknown = refusal.ran == Ran::kUnknown && !execution.envelope.read_only;
  if (write_unknown) {
    session = m_outcomes.session_after_unknown(execution);
  }
  finish(execution, tl::unexpected(RefusedRequest{std::move(refusal), session}), now);
}

void RequestService::succeed(Execution& execution, TimePoint now) {
  RequestAnswer answer = std::move(execution.answer);
  finish(execution, std::move(answer), now);
}

void RequestService::finish(Execution& execution, RequestOutcome outcome, TimePoint now) {
  execution.chart.fire(RequestEvent::kFinish);
  release_resources(execution, now);
  const auto node = m_executions.extract(execution.id);
  const Execution& finished = node.mapped();
  m_sink.finish_request(finished.origin, finished.envelope, std::move(outcome), now);
}

void RequestService::release_resources(Execution& execution, TimePoint now) {
  m_timers.cancel(execution.id);
  m_origins.erase(execution.origin);
  if (execution.work.has_value()) {
    m_work.erase(*execution.work);
    abandon_transaction_work(execution, now);
  }
  m_outcomes.drop_confirmation(execution);
  if (execution.shared.has_value()) {
    m_shared_reads.withdraw(execution, now);
  }
  m_transactions.release(execution, now);
}

void RequestService::abandon_transaction_work(Execution& execution, TimePoint now) {
  // The result of a single statement that nobody waits for is dropped when it arrives. But the connection of a
  // transaction would stay reserved, or the next step would be sent on it while this one is still running.
  const bool of_transaction = execution.purpose == WorkPurpose::kBegin || execution.transaction.has_value();
  MemberExecutor* const executor = executor_of(execution);
  if (of_transaction && executor != nullptr && executor->abandon(*execution.work, now)) {
    m_transactions.on_step_abandoned(execution);
  }
}

Execution* RequestService::find(ExecutionId id) {
  const auto found = m_executions.find(id);
  return found == m_executions.end() ? nullptr : &found->second;
}

MemberExecutor* RequestService::executor_of(const Execution& execution) {
  GroupRuntime* const runtime = m_groups.find(execution.envelope.group);
  return runtime == nullptr ? nullptr : runtime->find_executor(execution.member);
}

void RequestService::wake_at(const Execution& execution, TimePoint at) {
  m_timers.schedule(execution.id, std::min(execution.deadline, at));
}

}  // namespace teaselrudder
