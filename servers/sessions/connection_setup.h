#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/session_protocol.h"

namespace teaselrudder {

/// Session variables set by a caller, by name.
using SessionValues = std::map<std::string, std::string>;

/// A prepared statement of a session. The caller's name for it is known only to this host; on the members it is
/// prepared under shared_name().
struct PreparedStatement {
  StatementAccess access = StatementAccess::kRead;
  std::string shape;

  /// Returns the name of the statement on member connections. It is derived from the statement itself, so that sessions
  /// with the same statement share one prepared statement per connection.
  std::string shared_name() const { return (access == StatementAccess::kWrite ? "w_" : "r_") + shape; }

  friend bool operator==(const PreparedStatement&, const PreparedStatement&) = default;
};

/// Session state that earlier sessions left on a connection to a member.
struct ConnectionSessionState {
  SessionValues values;
  /// Names of the statements prepared on the connection, as returned by PreparedStatement::shared_name().
  std::set<std::string> prepared;
};

/// Number of prepared statements on a connection at which it is reset before its next use.
inline constexpr std::size_t kMaxPreparedOnConnection = 256;

/// Returns the number of commands needed to change the variables in `session_state` to `values`. The connection with
/// the lowest cost is the best one for the session.
std::size_t setup_cost(const ConnectionSessionState& session_state, const SessionValues& values);

/// Returns the commands to send before a statement of a session with `values`. If `needed` is given, the statement
/// executes it, and it is prepared unless the connection has it. Updates `session_state` to the state of the connection
/// after these commands. A single variable cannot be unset, so a connection with a variable that the session has not
/// set is reset.
std::vector<MemberCommand> plan_setup(ConnectionSessionState& session_state, const SessionValues& values,
                                      const std::optional<PreparedStatement>& needed);

}  // namespace teaselrudder
