#include "servers/host/outcome_resolver.h"

#include <algorithm>

#include "servers/host/shared_read_coordinator.h"

namespace teaselrudder {

namespace {

// Delay before another attempt to resolve a write of unknown outcome.
constexpr Duration kResolveRetryDelay = std::chrono::milliseconds(50);

LogPoint point_of(const MemberStatus& status) { return {status.raised_term, status.received}; }

}  // namespace

OutcomeResolver::OutcomeResolver(HostContext& context, GroupDirectory& groups, ExecutionActions& actions)
    : m_context(context), m_groups(groups), m_actions(actions) {}

void OutcomeResolver::drop_confirmation(Execution& execution) {
  if (!execution.confirmation.has_value()) {
    return;
  }
  m_confirmations.erase({execution.envelope.group, *execution.confirmation});
  if (GroupRuntime* runtime = m_groups.find(execution.envelope.group)) {
    runtime->group().cancel_confirmation(*execution.confirmation);
  }
  execution.confirmation.reset();
}

void OutcomeResolver::confirm(Execution& execution, const MemberStatus& status, ConfirmationPurpose purpose,
                              TimePoint now) {
  if (status.raised_term != execution.term) {
    on_superseded(execution, purpose, now);
    return;
  }
  execution.chart.fire(RequestEvent::kConfirm);
  execution.confirmation_purpose = purpose;
  execution.answer.session.point = point_of(status);
  GroupRuntime* const runtime = m_groups.find(execution.envelope.group);
  if (runtime == nullptr) {
    m_actions.refuse(
        execution,
        make_refusal(RefusalReason::kConfirmationTimeout, Ran::kUnknown, "the group is not configured any more"), now);
    return;
  }
  const ConfirmationId confirmation = runtime->group().confirm(point_of(status), execution.deadline, now);
  execution.confirmation = confirmation;
  m_confirmations.emplace(std::make_pair(execution.envelope.group, confirmation), execution.id);
}

void OutcomeResolver::retry_read(Execution& execution, TimePoint now) {
  if (execution.envelope.step == TransactionStep::kNone) {
    m_actions.retry(execution, RetryReason::kPrimaryChanged, false, now);
    return;
  }
  // The statements of the transaction's earlier steps are not kept, so the transaction cannot be repeated.
  m_actions.refuse(execution,
                   make_refusal(RefusalReason::kTransactionAborted, Ran::kNo,
                                "the primary was replaced while the transaction was reading"),
                   now);
}

void OutcomeResolver::on_superseded(Execution& execution, ConfirmationPurpose purpose, TimePoint now) {
  // A higher term began between the operation and the status. The log position belongs to the old term, and the log of
  // the new term may hold other records at that position, so confirming it would prove nothing.
  switch (purpose) {
    case ConfirmationPurpose::kRead:
      retry_read(execution, now);
      return;
    case ConfirmationPurpose::kWrite:
      execution.pending_refusal =
          make_refusal(RefusalReason::kConfirmationTimeout, Ran::kUnknown, "a new term began while the write ran");
      resolve_write(execution, now);
      return;
    case ConfirmationPurpose::kResolvedRan:
    case ConfirmationPurpose::kResolvedVoid:
      execution.chart.fire(RequestEvent::kSettle);
      m_actions.wake_at(execution, now + kResolveRetryDelay);
  }
}

void OutcomeResolver::on_confirmation_done(const GroupId& group, const ConfirmationDone& done, TimePoint now) {
  const auto found = m_confirmations.find({group, done.confirmation});
  if (found == m_confirmations.end()) {
    return;
  }
  Execution* const execution = m_actions.find(found->second);
  m_confirmations.erase(found);
  if (execution == nullptr) {
    return;
  }
  execution->confirmation.reset();
  if (done.confirmed) {
    on_confirmed(*execution, now);
    return;
  }
  m_context.counters.count("confirmations_failed");
  if (execution->confirmation_purpose == ConfirmationPurpose::kRead) {
    retry_read(*execution, now);
    return;
  }
  execution->pending_refusal =
      make_refusal(RefusalReason::kConfirmationTimeout, Ran::kUnknown, "no majority confirmed the write");
  resolve_write(*execution, now);
}

void OutcomeResolver::on_confirmed(Execution& execution, TimePoint now) {
  const SessionPosition& before = execution.envelope.session;
  SessionPosition& after = execution.answer.session;
  const LogPoint confirmed = after.point;
  // Once a position in a later term is confirmed, a write of unknown outcome in an earlier term is either part of the
  // log or lost for good.
  after.uncertain = before.uncertain && before.point.term >= confirmed.term;
  switch (execution.confirmation_purpose) {
    case ConfirmationPurpose::kWrite:
      m_context.counters.count("writes_confirmed");
      m_actions.succeed(execution, now);
      return;
    case ConfirmationPurpose::kRead:
      count_read(m_context.counters, execution);
      m_actions.succeed(execution, now);
      return;
    case ConfirmationPurpose::kResolvedRan:
    case ConfirmationPurpose::kResolvedVoid:
      break;
  }
  const bool ran = execution.confirmation_purpose == ConfirmationPurpose::kResolvedRan;
  m_context.counters.count(ran ? "writes_settled_ran" : "writes_settled_void");
  Refusal refusal = execution.pending_refusal;
  refusal.ran = ran ? Ran::kYes : Ran::kNo;
  refusal.detail += ran ? "; the write ran and is confirmed, but its results are not kept"
                        : "; the write did not run and its request id is void";
  m_actions.finish(execution, tl::unexpected(RefusedRequest{std::move(refusal), after}), now);
}

void OutcomeResolver::resolve_write(Execution& execution, TimePoint now) {
  execution.chart.fire(RequestEvent::kSettle);
  m_context.counters.count("writes_settling");
  try_resolve_write(execution, now);
}

void OutcomeResolver::try_resolve_write(Execution& execution, TimePoint now) {
  GroupRuntime* const runtime = m_groups.open(execution.envelope.group, now);
  const std::optional<PrimaryView> primary = runtime == nullptr ? std::nullopt : runtime->group().primary();
  if (!primary.has_value()) {
    m_actions.wake_at(execution, now + kResolveRetryDelay);
    return;
  }
  execution.member = primary->member;
  execution.term = primary->term;
  m_actions.submit(execution, ResolveWrite{primary->term, execution.envelope.request_id}, WorkPurpose::kResolveWrite,
                   std::nullopt, now);
}

void OutcomeResolver::on_resolve_write_ended(Execution& execution, const WorkEnded& ended, TimePoint now) {
  const auto* const result = ended.result.has_value() ? std::get_if<ResolveWriteResult>(&*ended.result) : nullptr;
  if (result == nullptr) {
    // Resolving can be repeated: the record of the request id gives the same result each time.
    m_actions.wake_at(execution, now + kResolveRetryDelay);
    return;
  }
  if (GroupRuntime* runtime = m_groups.find(execution.envelope.group)) {
    runtime->group().on_operation_report(execution.member, result->after, ended.started, now);
  }
  confirm(execution, result->after,
          result->ran ? ConfirmationPurpose::kResolvedRan : ConfirmationPurpose::kResolvedVoid, now);
}

SessionPosition OutcomeResolver::session_after_unknown(const Execution& execution) {
  SessionPosition session = execution.envelope.session;
  Term attempted = std::max(execution.term, execution.envelope.term);
  if (const GroupRuntime* runtime = m_groups.find(execution.envelope.group)) {
    attempted = std::max(attempted, runtime->group().highest_known_term());
  }
  if (attempted > session.point.term) {
    session.point = {attempted, LogPosition()};
  }
  session.uncertain = true;
  return session;
}

}  // namespace teaselrudder
