#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ports/upstream_port.h"

namespace teaselrudder {

/// What a command contributes to its operation.
enum class CommandRole {
  kControl,      // Only has to succeed: BEGIN, ROLLBACK, require_term.
  kRecord,       // Records the request id; fails if it is already recorded.
  kBefore,       // Status before the first statement.
  kStatement,    // A statement of the caller.
  kCommit,       // Ends the transaction; a rolled back transaction is reported by its tag.
  kAnswer,       // Returns the answer of a function call.
  kAfter,        // Status after everything else.
  kSynchronize,  // Ends a segment: after an error the member skips everything up to here.
};

/// One command of a pipeline.
struct ScriptCommand {
  CommandRole role = CommandRole::kControl;
  std::string sql;
  std::vector<std::optional<std::string>> parameters;
};

/// The commands of one operation, sent in one pipeline.
using Script = std::vector<ScriptCommand>;

/// Returns the commands of `operation`.
///
/// Where a transaction ends within the operation, a segment ends before its COMMIT. The COMMIT therefore always
/// reaches the member and rolls back a transaction that failed, without another round trip.
Script build_script(const UpstreamOperation& operation);

/// Returns the commands that roll back an open transaction and report the status.
Script build_rollback();

/// Tells whether `sql` would end or begin a transaction, change the state of the session or leave the query protocol.
/// Such a statement breaks the rules that the operations rely on, or leaks into requests of other callers.
bool is_session_statement(std::string_view sql);

/// Returns the error of a script that must not be sent, or nothing: it has a session statement, a zero byte, at which
/// the protocol would cut the text short, or more parameters than the protocol can count.
std::optional<UpstreamError> find_refusal(const Script& script);

}  // namespace teaselrudder
