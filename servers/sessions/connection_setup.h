#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/session_protocol.h"

namespace teaselrudder {

/// Session variables set by a caller, by name.
using SessionValues = std::map<std::string, std::string>;

/// A prepared statement of a session. The caller's name for it is known only to this host; on a member connection it
/// has a name that this host chose.
struct PreparedStatement {
  StatementAccess access = StatementAccess::kRead;
  std::string shape;

  friend bool operator==(const PreparedStatement&, const PreparedStatement&) = default;
  friend auto operator<=>(const PreparedStatement&, const PreparedStatement&) = default;
};

/// Session state that earlier sessions left on a connection to a member.
struct ConnectionSessionState {
  /// Variables of the connection; nothing if they are unknown, so that the connection must be reset before its next
  /// use.
  std::optional<SessionValues> values = SessionValues{};
  /// Names of the statements prepared on the connection. Sessions with the same statement share it.
  std::map<PreparedStatement, std::string> prepared;
  /// Number in the next name. Names are never used again on a connection, so a name whose preparation the member
  /// refused cannot refer to another statement.
  std::uint64_t next_statement = 1;
};

/// Number of prepared statements on a connection at which it is reset before the next session uses it.
inline constexpr std::size_t kMaxPreparedOnConnection = 256;

/// Returns the number of commands needed to change the variables in `session_state` to `values`. The connection with
/// the lowest cost is the best one for the session.
std::size_t setup_cost(const ConnectionSessionState& session_state, const SessionValues& values);

/// Returns the commands that change the variables of the connection to `values`, and updates `session_state` to the
/// state after them. A statement of the session may be sent only when all of them have succeeded. A single variable
/// cannot be unset, so a connection with a variable that the session has not set is reset.
std::vector<MemberCommand> plan_values(ConnectionSessionState& session_state, const SessionValues& values);

/// Returns the command that prepares `statement`, or nothing if the connection has it, and updates `session_state`. The
/// statement can be executed without waiting for the reply: its name is new on the connection, so if the member refuses
/// the command, it does not know the name.
std::optional<MemberCommand> plan_prepare(ConnectionSessionState& session_state, const PreparedStatement& statement);

}  // namespace teaselrudder
