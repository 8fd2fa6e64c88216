#pragma once

#include "servers/host/execution_actions.h"
#include "servers/host/group_directory.h"
#include "servers/host/outcome_resolver.h"
#include "servers/host/transaction_table.h"

namespace teaselrudder {

/// Runs the steps of transactions that stay open across requests. Each transaction stays on one connection, and in the
/// term in which it began.
class TransactionSteps {
 public:
  TransactionSteps(HostContext& context, GroupDirectory& groups, ExecutionActions& actions, OutcomeResolver& outcomes);

  /// Runs a step of an open transaction, or forwards it to the host that holds the transaction.
  void run_step(Execution& execution, TimePoint now);

  /// Handles the success of the operation that opens a transaction.
  void on_begin_ended(Execution& execution, const StatementsResult& result, const WorkEnded& ended, TimePoint now);

  /// Handles the end of the operation of a step.
  void on_step_ended(Execution& execution, const WorkEnded& ended, TimePoint now);

  /// Ends the transaction of a request whose running step was abandoned and whose connection is therefore closed.
  void on_step_abandoned(Execution& execution);

  /// Makes the transaction of a request that has ended available for its next step.
  void release(Execution& execution, TimePoint now);

  /// Rolls back the transactions that have been idle for longer than HostSettings::transaction_idle_timeout.
  void on_tick(TimePoint now);

  /// Returns when on_tick() is due next, or nothing if no transaction is idle.
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
