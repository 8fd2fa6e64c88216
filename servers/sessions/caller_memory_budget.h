#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "core/ports/caller_session_port.h"

namespace teaselrudder {

/// Keeps what all callers together make this host hold within a limit: received bytes that are not a whole line yet,
/// statements without an answer, variables and prepared statements, and answers that the caller has not read.
///
/// Answers load by callers that do not behave. One that holds little is never affected by others that hold much.
class CallerMemoryBudget {
 public:
  explicit CallerMemoryBudget(std::size_t limit_bytes) : m_limit_bytes(limit_bytes) {}

  /// Sets the number of bytes that are held for the session.
  void set_held(SessionId session, std::size_t bytes);
  void remove(SessionId session) { set_held(session, 0); }

  /// Returns the session that holds most, if the limit is exceeded. It is to be closed.
  std::optional<SessionId> session_to_close() const;

  std::size_t held_bytes() const { return m_held_bytes; }
  std::size_t limit_bytes() const { return m_limit_bytes; }

 private:
  std::size_t m_limit_bytes;
  std::size_t m_held_bytes = 0;
  std::map<SessionId, std::size_t> m_sessions;
  std::set<std::pair<std::size_t, SessionId>> m_by_size;
};

}  // namespace teaselrudder
