#pragma once

#include "servers/host/execution_actions.h"
#include "servers/host/group_directory.h"
#include "servers/host/outcome_resolver.h"
#include "servers/host/transaction_table.h"

namespace teaselrudder {

/// Runs the steps of open transactions: each transaction stays on one connection in one term.
class TransactionSteps {
 public:
  TransactionSteps(HostContext& context, GroupDirectory& groups, ExecutionActions& actions, OutcomeResolver& outcomes);

  /// Runs a step of an open transaction here, or sends it to the host that holds the transaction.
  void run_step(Execution& execution, TimePoint now);

  /// The work that opens a transaction ended well.
  void on_begin_ended(Execution& execution, const StatementsResult& result, const WorkEnded& ended, TimePoint now);

  /// The work of a step ended.
  void on_step_ended(Execution& execution, const WorkEnded& ended, TimePoint now);

  /// The connection of a running step was closed, because nobody waits for the step any more: the transaction is over.
  void on_step_abandoned(Execution& execution);

  /// Makes the transaction of a request that ends ready for its next step.
  void leave(Execution& execution, TimePoint now);

  /// Rolls back transactions that are idle for too long.
  void on_tick(TimePoint now);

  /// Returns when on_tick() is due next, if a transaction is idle.
  std::optional<TimePoint> next_wakeup() const { return m_transactions.next_deadline(); }

  /// Returns the number of open transactions.
  std::size_t open() const { return m_transactions.size(); }

 private:
  void on_step_succeeded(Execution& execution, const StatementsResult& result, const WorkEnded& ended, TimePoint now);
  void end_transaction(std::uint64_t number, bool in_doubt, TimePoint now);
  void close_connection(const OpenTransaction& transaction, bool in_doubt, TimePoint now);

  HostContext& m_context;
  GroupDirectory& m_groups;
  ExecutionActions& m_actions;
  OutcomeResolver& m_outcomes;
  TransactionTable m_transactions;
};

}  // namespace teaselrudder
