#include "servers/host/transaction_steps.h"

#include <utility>

namespace teaselrudder {

TransactionSteps::TransactionSteps(HostContext& context, GroupDirectory& groups, ExecutionActions& actions,
                                   OutcomeResolver& outcomes)
    : m_context(context),
      m_groups(groups),
      m_actions(actions),
      m_outcomes(outcomes),
      m_transactions(context.settings.self.host, context.settings.self.incarnation, context.settings.token_key) {}

void TransactionSteps::run_step(Execution& execution, TimePoint now) {
  const RequestEnvelope& envelope = execution.envelope;
  const std::optional<TransactionAddress> address = m_transactions.read_handle(envelope.transaction);
  if (!address.has_value()) {
    m_actions.refuse(execution,
                     make_refusal(RefusalReason::kUnknownTransaction, Ran::kNo, "the transaction handle is malformed"),
                     now);
    return;
  }
  if (address->host != m_context.settings.self.host) {
    m_actions.forward(execution, address->host, std::nullopt, Term(), now);
    return;
  }
  OpenTransaction* const transaction = m_transactions.find(*address);
  if (transaction == nullptr || transaction->service != envelope.service) {
    m_actions.refuse(execution,
                     make_refusal(RefusalReason::kUnknownTransaction, Ran::kNo, "the transaction is not open"), now);
    return;
  }
  if (transaction->busy) {
    m_actions.refuse(
        execution,
        make_refusal(RefusalReason::kTransactionBusy, Ran::kNo, "another step of the transaction is running"), now);
    return;
  }
  transaction->busy = true;
  execution.transaction = transaction->number;
  execution.member = transaction->member;
  execution.term = transaction->term;
  execution.envelope.group = transaction->group;
  execution.envelope.read_only = transaction->read_only;
  execution.envelope.request_id = transaction->request_id;
  const ConnectionId connection = transaction->connection;
  switch (envelope.step) {
    case TransactionStep::kCommit:
      m_actions.submit(execution, CommitTransaction{}, WorkPurpose::kCommit, connection, now);
      return;
    case TransactionStep::kRollback:
      m_actions.submit(execution, RollbackTransaction{}, WorkPurpose::kRollback, connection, now);
      return;
    default:
      m_actions.submit(execution, RunInTransaction{envelope.statements}, WorkPurpose::kStep, connection, now);
  }
}

void TransactionSteps::on_begin_ended(Execution& execution, const StatementsResult& result, const WorkEnded& ended,
                                      TimePoint now) {
  const RequestEnvelope& envelope = execution.envelope;
  MemberExecutor* const executor = m_actions.executor_of(execution);
  if (result.already_recorded) {
    if (executor != nullptr) {
      executor->end_transaction(ended.connection, true, now);
    }
    execution.pending_refusal =
        make_refusal(RefusalReason::kDuplicateRequest, Ran::kUnknown, "a request with this id is recorded already");
    m_outcomes.resolve_write(execution, now);
    return;
  }
  OpenTransaction transaction;
  transaction.service = envelope.service;
  transaction.group = envelope.group;
  transaction.member = execution.member;
  transaction.connection = ended.connection;
  transaction.term = execution.term;
  transaction.read_only = envelope.read_only;
  transaction.request_id = envelope.request_id;
  transaction.idle_deadline = now + m_context.settings.transaction_idle_timeout;
  std::optional<TransactionHandle> handle = m_transactions.add(std::move(transaction));
  if (!handle.has_value()) {
    if (executor != nullptr) {
      executor->end_transaction(ended.connection, true, now);
    }
    m_actions.refuse(
        execution, make_refusal(RefusalReason::kConnectionsExhausted, Ran::kNo, "too many transactions are open"), now);
    return;
  }
  m_context.counters.count("transactions_begun");
  execution.answer.transaction = *handle;
  execution.answer.session = envelope.session;
  execution.answer.served_by = execution.member;
  execution.answer.request_id = envelope.request_id;
  if (envelope.statements.empty()) {
    m_actions.succeed(execution, now);
    return;
  }
  execution.envelope.transaction = *handle;
  execution.envelope.step = TransactionStep::kContinue;
  run_step(execution, now);
}

void TransactionSteps::on_step_succeeded(Execution& execution, const StatementsResult& result, const WorkEnded& ended,
                                         TimePoint now) {
  const WorkPurpose purpose = execution.purpose;
  execution.answer.results = result.results;
  execution.answer.session = execution.envelope.session;
  execution.answer.served_by = execution.member;
  execution.answer.request_id = execution.envelope.request_id;
  if (purpose == WorkPurpose::kStep) {
    m_actions.succeed(execution, now);
    return;
  }
  const std::uint64_t number = execution.transaction.value_or(0);
  execution.transaction.reset();
  end_transaction(number, false, now);
  if (purpose == WorkPurpose::kRollback) {
    m_actions.succeed(execution, now);
    return;
  }
  if (GroupRuntime* runtime = m_groups.find(execution.envelope.group)) {
    runtime->group().on_operation_report(execution.member, result.after, ended.started, now);
  }
  const bool read_only = execution.envelope.read_only;
  m_outcomes.confirm(execution, result.after, read_only ? ConfirmationPurpose::kRead : ConfirmationPurpose::kWrite,
                     now);
}

void TransactionSteps::on_step_ended(Execution& execution, const WorkEnded& ended, TimePoint now) {
  const WorkPurpose purpose = execution.purpose;
  const std::uint64_t number = execution.transaction.value_or(0);
  const auto* const result = ended.result.has_value() ? std::get_if<StatementsResult>(&*ended.result) : nullptr;
  if (result != nullptr) {
    on_step_succeeded(execution, *result, ended, now);
    return;
  }
  UpstreamError error;
  if (!ended.result.has_value()) {
    error = ended.result.error();
  }
  execution.transaction.reset();
  end_transaction(number, true, now);
  Refusal refusal = make_refusal(reason_of(error), Ran::kNo, error.message + "; the transaction was rolled back");
  refusal.sqlstate = error.sqlstate;
  execution.pending_refusal = refusal;
  const bool may_have_committed =
      purpose == WorkPurpose::kCommit && error.may_have_run && !execution.envelope.read_only;
  if (may_have_committed) {
    execution.may_have_run = true;
    execution.pending_refusal.ran = Ran::kUnknown;
    execution.pending_refusal.detail = error.message;
    m_outcomes.resolve_write(execution, now);
    return;
  }
  m_actions.refuse(execution, std::move(refusal), now);
}

void TransactionSteps::on_step_abandoned(Execution& execution) {
  if (execution.transaction.has_value()) {
    m_transactions.remove(*execution.transaction);
    execution.transaction.reset();
  }
}

void TransactionSteps::release(Execution& execution, TimePoint now) {
  if (!execution.transaction.has_value()) {
    return;
  }
  if (OpenTransaction* transaction = m_transactions.find(*execution.transaction)) {
    transaction->busy = false;
    transaction->idle_deadline = now + m_context.settings.transaction_idle_timeout;
  }
}

void TransactionSteps::on_tick(TimePoint now) {
  for (const OpenTransaction& idle : m_transactions.take_idle(now)) {
    m_context.counters.count("transactions_idle_rolled_back");
    close_connection(idle, true, now);
  }
}

void TransactionSteps::end_transaction(std::uint64_t number, bool in_doubt, TimePoint now) {
  const OpenTransaction* const transaction = m_transactions.find(number);
  if (transaction == nullptr) {
    return;
  }
  close_connection(*transaction, in_doubt, now);
  m_transactions.remove(number);
}

void TransactionSteps::close_connection(const OpenTransaction& transaction, bool in_doubt, TimePoint now) {
  GroupRuntime* const runtime = m_groups.find(transaction.group);
  MemberExecutor* const executor = runtime == nullptr ? nullptr : runtime->find_executor(transaction.member);
  if (executor != nullptr) {
    executor->end_transaction(transaction.connection, in_doubt, now);
  }
}

}  // namespace teaselrudder
