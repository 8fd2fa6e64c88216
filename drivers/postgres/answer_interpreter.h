#pragma once

#include <string>
#include <vector>

#include "core/ports/upstream_port.h"
#include "drivers/postgres/operation_script.h"

namespace teaselrudder {

/// What a member answered to one command.
struct CommandOutcome {
  enum class State {
    kPending,    // No complete answer arrived yet.
    kCompleted,  // The command succeeded; `result` and `tag` hold its answer.
    kFailed,     // The member rejected the command; `sqlstate` and `message` say why.
    kSkipped,    // An earlier command of the segment failed.
  };

  State state = State::kPending;
  ResultSet result;
  /// The command tag, for example `COMMIT`.
  std::string tag;
  std::string sqlstate;
  std::string message;
  /// The error ended the session.
  bool fatal = false;
};

/// Reads the one row of member_status(). The error says what is wrong.
tl::expected<MemberStatus, std::string> parse_member_status(const ResultSet& result);

/// Turns the outcomes of the commands of `script` into the outcome of `operation`. `outcomes` has one entry for each
/// command, none of them pending.
tl::expected<UpstreamResult, UpstreamError> interpret_answer(const UpstreamOperation& operation, const Script& script,
                                                             const std::vector<CommandOutcome>& outcomes);

/// Tells whether the outcomes so far rule out any effect of the operation: the member reported an error that rolls its
/// transaction back. An id that is already recorded rules nothing out, because an earlier attempt may have run.
bool rules_out_effects(const Script& script, const std::vector<CommandOutcome>& outcomes);

}  // namespace teaselrudder
