#pragma once

#include <map>
#include <utility>

#include "servers/host/execution_actions.h"
#include "servers/host/group_directory.h"

namespace teaselrudder {

/// Finds out what became of writes: waits for their confirmation, and settles those whose outcome is unknown.
class OutcomeResolver {
 public:
  OutcomeResolver(HostContext& context, GroupDirectory& groups, ExecutionActions& actions);

  /// Releases the request's answer once a majority holds the position in `status`, which the member returned after the
  /// operation that it ran as the primary in Execution::term.
  void confirm(Execution& execution, const MemberStatus& status, ConfirmationPurpose purpose, TimePoint now);

  /// A confirmation ended.
  void on_confirmation_done(const GroupId& group, const ConfirmationDone& done, TimePoint now);

  /// Finds out from the record of its id whether the write ran, and makes sure that it never will if it did not.
  void settle(Execution& execution, TimePoint now);

  /// Tries again to settle; called when the primary changed or a delay is over.
  void try_settle(Execution& execution, TimePoint now);

  /// The settling work at the primary ended.
  void on_settle_ended(Execution& execution, const WorkEnded& ended, TimePoint now);

  /// Drops the confirmation of a request that ends.
  void leave(Execution& execution);

  /// Returns the session's position after a write whose outcome stays unknown.
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
