#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ports/upstream_port.h"

namespace teaselrudder {

/// Purpose of a command within its operation.
enum class CommandRole {
  kControl,          // Must succeed; its result is not used: BEGIN, ROLLBACK, require_term.
  kRecordRequestId,  // Records the request id; fails if it is already recorded.
  kStatusBefore,     // Reads the member status before the first statement.
  kStatement,        // Executes a statement of the caller.
  kCommit,           // COMMIT. Its command tag tells whether the member committed or rolled back the transaction.
  kFunctionResult,   // Calls a function of the schema `teaselrudder` whose result is the result of the operation.
  kStatusAfter,      // Reads the member status after all other commands.
  kSync,             // Sync message. After an error, the member skips all commands up to the next one.
};

/// One command of a script.
struct ScriptCommand {
  CommandRole role = CommandRole::kControl;
  std::string sql;
  std::vector<std::optional<std::string>> parameters;
};

/// The commands of one operation in order. They are sent together, in one libpq pipeline.
using OperationScript = std::vector<ScriptCommand>;

/// Returns the commands of `operation`.
///
/// If the operation ends a transaction that it began, a sync precedes its COMMIT. The member therefore executes the
/// COMMIT even after an error, which rolls back the failed transaction without another round trip.
OperationScript build_script(const UpstreamOperation& operation);

/// Returns the commands that roll back an open transaction and read the member status.
OperationScript build_rollback_script();

/// Returns true if `sql` would begin or end a transaction, change the state of the session or leave the extended query
/// protocol. Such a statement would break assumptions of the operations or affect requests of other callers on the same
/// connection.
bool is_session_statement(std::string_view sql);

/// Returns an error if `script` must not be sent, and nothing otherwise. It must not be sent if it contains a session
/// statement, a zero byte, at which the protocol would truncate the text, or more parameters than the protocol allows.
std::optional<UpstreamError> find_refusal(const OperationScript& script);

}  // namespace teaselrudder
