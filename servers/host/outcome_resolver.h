#pragma once

#include <map>
#include <utility>

#include "servers/host/execution_actions.h"
#include "servers/host/group_directory.h"

namespace teaselrudder {

/// Determines the outcome of requests that have run on a primary: waits until a majority confirms their log position,
/// and resolves writes of which it is unknown whether they ran.
class OutcomeResolver {
 public:
  OutcomeResolver(HostContext& context, GroupDirectory& groups, ExecutionActions& actions);

  /// Answers the request once a majority holds the log position in `status`. `status` must be what the member returned
  /// after the operation, which it ran as the primary in Execution::term.
  void confirm(Execution& execution, const MemberStatus& status, ConfirmationPurpose purpose, TimePoint now);

  /// Handles the end of a confirmation.
  void on_confirmation_done(const GroupId& group, const ConfirmationDone& done, TimePoint now);

  /// Resolves a write of unknown outcome: looks up the record of its request id at the primary to find out whether it
  /// ran, and voids the id if it did not, so that it never can. The request is answered with the result.
  void resolve_write(Execution& execution, TimePoint now);

  /// Submits the next attempt to resolve the write. Called after the primary changed or the delay of a retry has
  /// passed.
  void try_resolve_write(Execution& execution, TimePoint now);

  /// Handles the end of an attempt to resolve a write.
  void on_resolve_write_ended(Execution& execution, const WorkEnded& ended, TimePoint now);

  /// Cancels the confirmation of a request that has ended, if it waits for one.
  void drop_confirmation(Execution& execution);

  /// Returns the session's position after a write whose outcome could not be determined.
  SessionPosition session_after_unknown(const Execution& execution);

 private:
  void retry_read(Execution& execution, TimePoint now);
  void on_superseded(Execution& execution, ConfirmationPurpose purpose, TimePoint now);
  void on_confirmed(Execution& execution, TimePoint now);

  HostContext& m_context;
  GroupDirectory& m_groups;
  ExecutionActions& m_actions;
  std::map<std::pair<GroupId, ConfirmationId>, ExecutionId> m_confirmations;
};

}  // namespace teaselrudder
