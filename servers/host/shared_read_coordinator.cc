#include "servers/host/shared_read_coordinator.h"

#include "servers/group/read_router.h"
#include "servers/host/request_router.h"

namespace teaselrudder {

SharedReadCoordinator::SharedReadCoordinator(HostContext& context, GroupDirectory& groups, ExecutionActions& actions)
    : m_context(context), m_groups(groups), m_actions(actions) {}

bool SharedReadCoordinator::join(Execution& execution, TimePoint now) {
  const RequestEnvelope& envelope = execution.envelope;
  const bool shareable = envelope.freshness == Freshness::kMaxAge && !needs_confirmed_primary(envelope) &&
                         !execution.shared.has_value() && execution.attempts == 0;
  if (!shareable) {
    return false;
  }
  const SharedWaiter waiter{SharedWaiterId(execution.id.value()),
                            envelope.session,
                            envelope.max_age,
                            envelope.urgency,
                            execution.deadline,
                            now};
  const Join join = m_shared_reads.join(envelope.service, envelope.statements, waiter, now);
  if (join.result == JoinResult::kUnshared) {
    return false;
  }
  execution.shared = join.execution;
  if (join.result == JoinResult::kStarted) {
    return false;
  }
  m_context.counters.count("reads_shared");
  execution.chart.fire(RequestEvent::kEnqueue);
  return true;
}

void SharedReadCoordinator::on_answer(Execution& execution, const StatementsResult& result, const WorkEnded& ended,
                                      TimePoint now) {
  const SharedExecutionId shared = *execution.shared;
  const MemberId member = execution.member;
  const GroupRuntime* const runtime = m_groups.find(execution.envelope.group);
  m_shared_reads.on_started(shared, ended.started);
  const SharedOutcome outcome = m_shared_reads.on_answer(shared, [&](const SharedWaiter& waiter, TimePoint as_of) {
    const ReadRequirement requirement{waiter.session, Freshness::kMaxAge, waiter.max_age};
    return runtime != nullptr && read_is_acceptable(runtime->group(), requirement, result.before, as_of);
  });
  for (const SharedWaiterId waiter : outcome.answered) {
    if (Execution* const answered = m_actions.find(ExecutionId(waiter.value()))) {
      answered->shared.reset();
      answered->answer = {result.results, answered->envelope.session, answered->envelope.request_id,
                          member,         result.before.is_primary,   TransactionHandle()};
      count_read(m_context.counters, *answered);
      m_actions.succeed(*answered, now);
    }
  }
  for (const SharedWaiterId waiter : outcome.to_rerun) {
    if (Execution* const returned = m_actions.find(ExecutionId(waiter.value()))) {
      returned->shared.reset();
      returned->pending_refusal =
          make_refusal(RefusalReason::kNoFreshReplica, Ran::kNo, "the member did not satisfy the required freshness");
      returned->envelope.target.reset();
      // Without a recent enough freshness sample, the age of the primary's data is not proven. A fresh read needs no
      // sample, because a majority confirms the primary after it.
      if (result.before.is_primary) {
        returned->envelope.freshness = Freshness::kFresh;
      }
      m_actions.retry(*returned, RetryReason::kReplicaBehind, false, now);
    }
  }
}

void SharedReadCoordinator::on_failure(Execution& execution, SharedFailure failure, TimePoint now) {
  if (!execution.shared.has_value()) {
    return;
  }
  const SharedOutcome outcome = m_shared_reads.on_failure(*execution.shared, failure, now);
  const Refusal refusal = execution.pending_refusal;
  const ExecutionId starter = execution.id;
  execution.shared.reset();
  for (const SharedWaiterId waiter : outcome.refused) {
    Execution* const refused = m_actions.find(ExecutionId(waiter.value()));
    if (refused == nullptr || refused->id == starter) {
      continue;  // The caller handles the read that started the execution.
    }
    refused->shared.reset();
    m_actions.refuse(*refused, refusal, now);
  }
  for (const SharedWaiterId waiter : outcome.to_rerun) {
    if (Execution* const returned = m_actions.find(ExecutionId(waiter.value()))) {
      returned->shared.reset();
      returned->pending_refusal = refusal;
      m_actions.retry(*returned, RetryReason::kConnectionLost, true, now);
    }
  }
}

void SharedReadCoordinator::withdraw(Execution& execution, TimePoint now) {
  const bool runs_it = execution.work.has_value();
  const bool others_wait = !m_shared_reads.leave(SharedWaiterId(execution.id.value())).has_value();
  if (runs_it && others_wait) {
    // The result will be dropped because the request that runs the read has ended, so the others have to run on their
    // own.
    on_failure(execution, SharedFailure::kExecution, now);
  }
  execution.shared.reset();
}

void count_read(Counters& counters, const Execution& execution) {
  counters.count(execution.answer.by_primary ? "reads_by_primary" : "reads_by_replica");
}

}  // namespace teaselrudder
