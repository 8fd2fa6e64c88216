#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/log_point.h"

namespace teaselrudder {

/// State of a session's transaction.
enum class TransactionState {
  kIdle,    // No transaction is open.
  kOpen,    // A transaction is open.
  kFailed,  // The transaction failed; only statements that end it are accepted.
};

/// Kinds of statements in a caller's session.
enum class StatementKind {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSetValue,
  kPrepare,
  kExecute,
  kDeallocate,
};

/// Whether a prepared statement reads or writes.
enum class StatementAccess { kRead, kWrite };

/// One statement of a session.
struct SessionStatement {
  RequestId id;
  StatementKind kind = StatementKind::kRead;
  /// Name of the session value or of the prepared statement; empty for other kinds.
  std::string name;
  /// Arguments of kRead, kWrite and kExecute, the value of kSetValue, or the statement text of kPrepare. Passed on to
  /// the member unchanged.
  std::string argument;
  /// Used for kPrepare only.
  StatementAccess access = StatementAccess::kRead;
};

/// Why a statement of a session failed.
enum class StatementErrorCode {
  kBusy,                // Not run: no slot or connection was free.
  kLagging,             // Not run: the member's log has not reached the required position.
  kReadOnly,            // Not run: the member is not the primary.
  kWrongMember,         // Not run: the address belongs to another member.
  kTooManyConnections,  // Not run: the connection limit is reached.
  kNotPrepared,         // Not run: no prepared statement has that name.
  kFailed,              // The member ran the statement and reported a failure.
  kTimeout,             // The statement exceeded its time limit; it may have run.
  kAborted,             // The transaction was rolled back; none of it took effect.
  kInDoubt,             // It is unknown whether the write took effect.
  kUnknownDatabase,     // No route is configured for the database.
  kUnauthenticated,     // Not run: no client account holds the session's key.
  kMalformed,           // The statement does not parse or is not allowed in the session's state.
  kTooLarge,            // The statement exceeds the size limit.
  kUnrecognized,        // The member returned an unknown error code.
};

/// Number of statement error codes, for arrays indexed by code.
inline constexpr std::size_t kStatementErrorCodeCount = static_cast<std::size_t>(StatementErrorCode::kUnrecognized) + 1;

/// Returns the machine-readable name of `code`, for example `in_doubt`.
std::string_view to_string(StatementErrorCode code);

/// Returns whether `code` guarantees that the statement did not run.
bool is_not_run(StatementErrorCode code);

/// The answer to one statement of a session.
struct StatementReply {
  std::vector<std::string> rows;
  /// Signature of the member that ran the statement; empty if this host answered without a member.
  std::string signature;
  std::optional<StatementErrorCode> error;
  /// One-line description of the error.
  std::string error_text;
  TransactionState state = TransactionState::kIdle;
  /// Position of the member's log after the statement.
  std::optional<LogPoint> position;
};

/// Kinds of commands to a member.
enum class MemberCommandKind {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kExecute,
  kSetValue,
  kPrepare,
  kReset,            // Clears the connection's session values and prepared statements.
  kReportStatus,     // Requests a MemberReport.
  kStopReceiving,    // Stops a replica from receiving records of terms below `term`, until kResumeReceiving or the
                     // promotion of a primary.
  kResumeReceiving,  // Ends the effect of kStopReceiving.
  kStepDown,         // Demotes the primary of a term below `term` to a replica.
};

/// One command to a member.
struct MemberCommand {
  MemberCommandKind kind = MemberCommandKind::kReportStatus;
  /// Id of the caller's statement; empty for commands that this host issues itself.
  RequestId id;
  /// Position that the member's log must have reached. Used for kRead, kExecute of a read, kBegin and kBeginReadOnly.
  std::optional<LogPoint> required;
  std::string name;
  std::string argument;
  StatementAccess access = StatementAccess::kRead;
  Term term;
};

/// Returns a command that this host issues itself. `term` is used only by kStopReceiving and kStepDown.
inline MemberCommand make_internal_command(MemberCommandKind kind, Term term = {}) {
  MemberCommand command;
  command.kind = kind;
  command.term = term;
  return command;
}

/// Status report of a member.
struct MemberReport {
  bool is_primary = false;
  Term term;
  /// End of the log that the member has received.
  LogPoint received;
  /// Term set by kStopReceiving, below which the member receives nothing; zero if receiving is not stopped.
  Term stopped_below;
  std::uint64_t lag_ms = 0;
  std::uint64_t busy_slots = 0;
  std::uint64_t connections = 0;
};

}  // namespace teaselrudder
