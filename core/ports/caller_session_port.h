#pragma once

#include <cstddef>
#include <string>

#include "core/ids.h"
#include "core/routing_table.h"
#include "core/session_protocol.h"
#include "core/time.h"

namespace teaselrudder {

/// Identifies a caller's session on this host.
using SessionId = StrongType<struct SessionIdTag, std::uint64_t>;

/// What a caller asks for when it opens a session.
struct SessionRequest {
  DatabaseName database;
  AccessKey key;
};

/// Sends replies to the sessions of callers.
class CallerSessionPort {
 public:
  CallerSessionPort() = default;
  CallerSessionPort(const CallerSessionPort&) = delete;
  CallerSessionPort& operator=(const CallerSessionPort&) = delete;
  virtual ~CallerSessionPort() = default;

  /// Confirms to the caller that its session is open.
  virtual void accept_session(SessionId session) = 0;

  /// Sends the caller the reason why its session cannot be opened, then closes the connection.
  virtual void reject_session(SessionId session, StatementErrorCode code, const std::string& text) = 0;

  /// Answers the oldest unanswered statement of the session.
  virtual void reply(SessionId session, const StatementReply& reply) = 0;

  /// Tells how much memory the session's variables and prepared statements take, in bytes.
  virtual void set_state_bytes(SessionId session, std::size_t bytes) = 0;

  /// Closes the session after all pending output has been sent. It raises no further events.
  virtual void close_session(SessionId session) = 0;
};

/// Receives events of callers' sessions.
class CallerSessionEvents {
 public:
  CallerSessionEvents() = default;
  CallerSessionEvents(const CallerSessionEvents&) = delete;
  CallerSessionEvents& operator=(const CallerSessionEvents&) = delete;
  virtual ~CallerSessionEvents() = default;

  /// A caller requests a session. The receiver must call accept_session() or reject_session().
  virtual void on_session_opened(SessionId session, const SessionRequest& request, TimePoint now) = 0;

  /// The caller sent a statement. The receiver must send exactly one reply; replies of a session are sent in the order
  /// of its statements.
  virtual void on_statement(SessionId session, SessionStatement statement, TimePoint now) = 0;

  /// The caller sent a statement that could not be parsed. The receiver must send one reply, in order with the others.
  virtual void on_bad_statement(SessionId session, StatementErrorCode code, TimePoint now) = 0;

  /// The caller closed the session or its connection was lost.
  virtual void on_session_closed(SessionId session, TimePoint now) = 0;
};

}  // namespace teaselrudder
