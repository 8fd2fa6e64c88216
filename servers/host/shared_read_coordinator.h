#pragma once

#include "servers/host/execution_actions.h"
#include "servers/host/group_directory.h"

namespace teaselrudder {

/// Lets identical reads that allow an age share one execution at a member.
class SharedReadCoordinator {
 public:
  SharedReadCoordinator(HostContext& context, GroupDirectory& groups, ExecutionActions& actions);

  /// Joins the read to a running execution of the same read. Returns false if the request has to run by itself, be it
  /// alone or as the one that others may join.
  bool join(Execution& execution, TimePoint now);

  /// Gives the answer of a shared execution to each request that it satisfies; the others run by themselves.
  void on_answer(Execution& execution, const StatementsResult& result, const WorkEnded& ended, TimePoint now);

  /// Ends a shared execution without an answer. The request that ran it is left to the caller.
  void on_failure(Execution& execution, SharedFailure failure, TimePoint now);

  /// Takes a request out that ends before its answer.
  void leave(Execution& execution, TimePoint now);

 private:
  HostContext& m_context;
  GroupDirectory& m_groups;
  ExecutionActions& m_actions;
  SharedReads m_shared_reads;
};

/// Counts a served read under the role of the member that served it.
void count_read(Counters& counters, const Execution& execution);

}  // namespace teaselrudder
