#pragma once

#include "servers/host/execution_actions.h"
#include "servers/host/group_directory.h"

namespace teaselrudder {

/// Lets identical reads share one execution at a member, if they accept data up to a maximum age.
class SharedReadCoordinator {
 public:
  SharedReadCoordinator(HostContext& context, GroupDirectory& groups, ExecutionActions& actions);

  /// Makes the request wait for the execution of an identical read. Returns false if there is none that it can share;
  /// the caller then runs the read itself, and later reads may join it.
  bool join(Execution& execution, TimePoint now);

  /// Answers each request of a shared execution for which the result is recent enough, and retries the others.
  void on_answer(Execution& execution, const StatementsResult& result, const WorkEnded& ended, TimePoint now);

  /// Ends a shared execution that has failed: refuses or retries the requests that joined it. The caller has to handle
  /// `execution`, the request that ran it.
  void on_failure(Execution& execution, SharedFailure failure, TimePoint now);

  /// Removes a request that ends before the shared execution does.
  void withdraw(Execution& execution, TimePoint now);

 private:
  HostContext& m_context;
  GroupDirectory& m_groups;
  ExecutionActions& m_actions;
  SharedReads m_shared_reads;
};

/// Increments the counter of reads served by the primary or that of reads served by a replica.
void count_read(Counters& counters, const Execution& execution);

}  // namespace teaselrudder
