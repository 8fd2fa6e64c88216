#pragma once

#include <string>
#include <vector>

#include "core/ports/upstream_port.h"
#include "drivers/postgres/operation_script.h"

namespace teaselrudder {

/// The response of a member to one command of a script.
struct CommandOutcome {
  enum class State {
    kPending,    // The response has not arrived completely.
    kCompleted,  // The command succeeded; `result` and `tag` are set.
    kFailed,     // The member rejected the command; `sqlstate` and `message` are set.
    kSkipped,    // The member skipped the command, because an earlier one since the last sync failed.
  };

  State state = State::kPending;
  ResultSet result;
  /// The command tag, for example `COMMIT`.
  std::string tag;
  std::string sqlstate;
  std::string message;
  /// The error terminated the session: its severity is FATAL or PANIC.
  bool fatal = false;
};

/// Parses the result of the SQL function member_status(). Returns a one-line error if the result does not consist of
/// exactly one row with valid values.
tl::expected<MemberStatus, std::string> parse_member_status(const ResultSet& result);

/// Derives the outcome of `operation` from the outcomes of its commands. `outcomes` must have one entry for each
/// command of `script`, and none of them may be pending. Returns kBadAnswer if a result is missing or invalid.
tl::expected<UpstreamResult, UpstreamError> interpret_answer(const UpstreamOperation& operation,
                                                             const OperationScript& script,
                                                             const std::vector<CommandOutcome>& outcomes);

/// Returns true if the outcomes so far prove that the operation has no effect: the member reported an error that rolls
/// back the transaction. A request id that is already recorded proves nothing, because an earlier attempt of the
/// request may have run.
bool rules_out_effects(const OperationScript& script, const std::vector<CommandOutcome>& outcomes);

}  // namespace teaselrudder
