#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/member_status.h"
#include "core/request.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Requests a member's status.
struct ReportStatus {};

/// Asks a member to reject operations of terms below `term` and to let only `candidate` use `term`.
struct RaiseTerm {
  Term term;
  HostId candidate;
};

/// Makes a member the primary in `term`, which was granted to `candidate`.
struct Promote {
  Term term;
  HostId candidate;
};

/// Makes a member replicate from the primary of `term` and truncate records that are not in the primary's log.
struct Follow {
  Term term;
  Endpoint primary;
};

/// Runs statements together in a new transaction.
struct RunStatements {
  /// For a write, the term in which the member must be the primary; otherwise the member rejects the operation.
  Term term;
  std::vector<Statement> statements;
  bool read_only = false;
  /// For a write, the id recorded in the same transaction; a repeated id is not executed again.
  RequestId request_id;
};

/// Resolves a write of unknown outcome: reports whether it ran and, if it did not, prevents it from ever running.
struct ResolveWrite {
  Term term;
  RequestId request_id;
};

/// Opens a transaction on the connection. Unless it is read-only, the member must be the primary in `term`.
struct BeginTransaction {
  Term term;
  bool read_only = false;
  RequestId request_id;
};

/// Runs statements in the connection's open transaction.
struct RunInTransaction {
  std::vector<Statement> statements;
};

/// Commits the connection's open transaction.
struct CommitTransaction {};

/// Rolls back the connection's open transaction.
struct RollbackTransaction {};

/// An operation on an upstream connection. A connection runs one operation at a time.
using UpstreamOperation = std::variant<ReportStatus, RaiseTerm, Promote, Follow, RunStatements, ResolveWrite,
                                       BeginTransaction, RunInTransaction, CommitTransaction, RollbackTransaction>;

/// Result of ReportStatus.
struct StatusResult {
  MemberStatus status;
};

/// Result of RaiseTerm, Promote and Follow.
struct GrantResult {
  bool granted = false;
  MemberStatus status;
};

/// Result of RunStatements and of the transaction operations.
struct StatementsResult {
  std::vector<ResultSet> results;
  /// The member's status directly before the first statement, read on the same connection. Set for RunStatements only.
  MemberStatus before;
  /// The member's status directly after the commit or the last read. Set for RunStatements and CommitTransaction.
  MemberStatus after;
  /// True if the request id had been recorded earlier, so nothing ran this time and `results` is empty.
  bool already_recorded = false;
};

/// Result of ResolveWrite.
struct ResolveWriteResult {
  /// True if the write is recorded as run; false if it has been invalidated and can never run.
  bool ran = false;
  MemberStatus after;
};

/// Result of an operation; its type corresponds to the type of the operation.
using UpstreamResult = std::variant<StatusResult, GrantResult, StatementsResult, ResolveWriteResult>;

/// Why an upstream operation failed, as far as callers of UpstreamPort have to distinguish it.
enum class UpstreamErrorKind {
  kConnectFailed,       // The connection could not be opened.
  kTooManyConnections,  // The member's connection limit is reached.
  kConnectionLost,      // The open connection was lost, during an operation or while idle.
  kNotPrimaryInTerm,    // The member is not the primary in the required term; nothing ran.
  kStatementFailed,     // The member rejected a statement and rolled back the transaction.
  kBadAnswer,           // The member's answer was truncated or malformed.
};

/// A failed operation or connection attempt.
struct UpstreamError {
  UpstreamErrorKind kind = UpstreamErrorKind::kConnectionLost;
  /// False only if it is certain that the operation has had no effect and never will.
  bool may_have_run = true;
  /// The member's SQLSTATE, if it sent one.
  std::string sqlstate;
  std::string message;
};

/// Connections to members of database groups. Results arrive through UpstreamEvents.
class UpstreamPort {
 public:
  UpstreamPort() = default;
  UpstreamPort(const UpstreamPort&) = delete;
  UpstreamPort& operator=(const UpstreamPort&) = delete;
  virtual ~UpstreamPort() = default;

  /// Starts to open `connection`. One on_upstream_opened() event follows unless the connection is closed first.
  virtual void open_connection(ConnectionId connection, const Endpoint& upstream) = 0;

  /// Starts `operation` on an open, idle connection. One on_upstream_completed() event follows unless the connection is
  /// closed first.
  virtual void execute(ConnectionId connection, OperationId operation, UpstreamOperation details) = 0;

  /// Closes the connection immediately. It raises no further events.
  virtual void close_connection(ConnectionId connection) = 0;
};

/// Receives events of upstream connections.
class UpstreamEvents {
 public:
  UpstreamEvents() = default;
  UpstreamEvents(const UpstreamEvents&) = delete;
  UpstreamEvents& operator=(const UpstreamEvents&) = delete;
  virtual ~UpstreamEvents() = default;

  /// The connection attempt ended. After an error the connection no longer exists.
  virtual void on_upstream_opened(ConnectionId connection, tl::expected<void, UpstreamError> outcome,
                                  TimePoint now) = 0;

  /// The operation ended. After kConnectionLost or kBadAnswer the connection no longer exists.
  virtual void on_upstream_completed(ConnectionId connection, OperationId operation,
                                     tl::expected<UpstreamResult, UpstreamError> outcome, TimePoint now) = 0;

  /// The member closed an idle connection, which no longer exists.
  virtual void on_upstream_closed(ConnectionId connection, TimePoint now) = 0;
};

}  // namespace teaselrudder
