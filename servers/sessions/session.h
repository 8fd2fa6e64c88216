#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>

#include "core/group_leader.h"
#include "core/ports/caller_session_port.h"
#include "core/routing_table.h"
#include "servers/sessions/connection_setup.h"

namespace teaselrudder {

/// Phase of a statement that is executed on a member.
enum class ExecutionPhase {
  kWaiting,     // Waits for a connection or for a known primary.
  kSettingUp,   // The connection gets the variables of the session; the statement follows when all are set.
  kBeginning,   // The begin of the transaction has been sent; the statement follows.
  kRunning,     // The statement has been sent; the member may have run it.
  kConfirming,  // The primary has acknowledged the commit; the answer waits for a lease on the primary.
};

/// Returns the name of `phase` as written in log lines.
std::string_view to_string(ExecutionPhase phase);

/// State of a statement that is being executed on a member.
struct StatementExecution {
  SessionStatement statement;
  ExecutionPhase phase = ExecutionPhase::kWaiting;
  /// The statement changes data, or commits a transaction that sent a write.
  bool writes = false;
  /// Only the primary may run the statement.
  bool needs_primary = false;
  TimePoint arrived_at;
  TimePoint deadline;
  TimePoint phase_since;
  /// Earliest time of the next attempt.
  TimePoint not_before;
  /// Members that failed an earlier attempt.
  std::set<MemberId> avoided;
  std::uint32_t attempts = 0;
  /// Error of the last failed attempt.
  std::optional<StatementErrorCode> last_error;
  std::optional<ConnectionId> connection;
  /// Answer to a commit while no lease allows to pass it on, and the primary in the term of the commit.
  std::optional<StatementReply> withheld;
  GroupLeader acknowledged_by;
  /// When the commit was sent.
  TimePoint commit_sent_at;
};

/// One session of a caller. Its variables and prepared statements are kept here and set up on a member connection when
/// a statement needs them.
struct Session {
  SessionId id;
  SessionRequest request;
  SessionValues values;
  std::map<std::string, PreparedStatement> prepared;
  /// Size of the names and texts in `values` and `prepared`, in bytes.
  std::size_t state_bytes = 0;
  /// Statements that have arrived but not begun. An error code stands for a statement that could not be parsed.
  std::deque<std::variant<SessionStatement, StatementErrorCode>> pending;
  /// The first pending statement waits for a token of the account's quota.
  bool awaits_token = false;
  /// When the statement is refused if it has not got one.
  TimePoint token_deadline;
  std::optional<StatementExecution> execution;
  TransactionState state = TransactionState::kIdle;
  bool transaction_read_only = false;
  /// A write of the open transaction has been sent or is about to be sent.
  bool transaction_wrote = false;
  /// At least one statement of the open transaction has succeeded.
  bool transaction_used = false;
  /// The caller has received an error that says that its transaction failed.
  bool failure_reported = false;
  TimePoint transaction_began;
  TimePoint active_at;
  /// Route of the current transaction or single statement.
  std::optional<Route> route;
  /// Client account that the current transaction or single statement belongs to; empty if it belongs to none.
  AccountId account;
  /// Connection of the open transaction; set when its first statement is assigned to a member.
  std::optional<ConnectionId> pinned;
  /// Position of the session's last acknowledged commit in each group.
  std::map<GroupId, LogPoint> own_commits;
};

/// All sessions of this host.
using SessionTable = std::unordered_map<SessionId, Session>;

}  // namespace teaselrudder
