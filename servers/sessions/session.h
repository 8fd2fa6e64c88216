#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>

#include "core/ports/caller_session_port.h"
#include "core/routing_table.h"
#include "servers/sessions/connection_setup.h"

namespace teaselrudder {

/// How far a statement is that a member has to run.
enum class ExecutionPhase {
  kWaiting,    // For a connection, or for a primary.
  kChecking,   // Whether a connection that has been silent still works.
  kBeginning,  // The transaction that precedes the statement.
  kRunning,    // The member may run the statement.
};

/// Returns the machine-readable name of `phase`.
std::string_view to_string(ExecutionPhase phase);

/// One statement of a session on its way to a member.
struct Execution {
  SessionStatement statement;
  ExecutionPhase phase = ExecutionPhase::kWaiting;
  /// The statement changes data, or commits what did.
  bool writes = false;
  /// Only the primary may run the statement.
  bool needs_primary = false;
  /// A single read in a transaction of this host's, which a replaced primary refuses.
  bool wrapped = false;
  TimePoint arrived_at;
  TimePoint deadline;
  TimePoint phase_since;
  /// Earliest time of the next attempt.
  TimePoint not_before;
  /// Members that failed an earlier attempt.
  std::set<MemberId> avoided;
  std::uint32_t attempts = 0;
  /// Why the last attempt did not run.
  std::optional<StatementErrorCode> last_error;
  std::optional<ConnectionId> connection;
};

/// One session of a caller. Its values and prepared statements live here, not on a member's connection.
struct Session {
  SessionId id;
  DatabaseName database;
  SessionValues values;
  std::map<std::string, PreparedStatement> prepared;
  /// Statements without an answer that have not begun; a code stands for one that cannot be read.
  std::deque<std::variant<SessionStatement, StatementErrorCode>> pending;
  std::optional<Execution> execution;
  TransactionState state = TransactionState::kIdle;
  bool transaction_read_only = false;
  /// The open transaction has sent a write.
  bool transaction_wrote = false;
  /// A statement of the open transaction has succeeded.
  bool transaction_used = false;
  /// The caller knows that its transaction failed.
  bool failure_told = false;
  TimePoint transaction_began;
  TimePoint active_at;
  /// The route of the present operation.
  std::optional<Route> route;
  /// The connection of the open transaction, from its first statement on.
  std::optional<ConnectionId> pinned;
  /// Position of the session's last acknowledged commit in each group.
  std::map<GroupId, LogPoint> own_commits;
};

/// All sessions of this host.
using SessionTable = std::unordered_map<SessionId, Session>;

}  // namespace teaselrudder
