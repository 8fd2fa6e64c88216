#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/member_status.h"
#include "core/request.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Asks a member for its status.
struct ReportStatus {};

/// Asks a member to reject everything below `term` from now on and to let only `candidate` use `term`.
struct RaiseTerm {
  Term term;
  HostId candidate;
};

/// Orders a member to become the primary in `term`, which was granted to `candidate`.
struct Promote {
  Term term;
  HostId candidate;
};

/// Orders a member to replicate from the primary of `term` and to truncate what does not belong to its log.
struct Follow {
  Term term;
  Endpoint primary;
};

/// Runs statements in one transaction of their own.
struct RunStatements {
  /// For a write, the term in which the member must be the primary; the member refuses otherwise.
  Term term;
  std::vector<Statement> statements;
  bool read_only = false;
  /// For a write, recorded in the same transaction; a second run of the same id does not execute.
  RequestId request_id;
};

/// Finds out whether a write ran, and makes sure that it never will if it did not.
struct SettleRequest {
  Term term;
  RequestId request_id;
};

/// Opens a transaction on the connection, in `term` unless it is read-only.
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

/// Rolls the connection's open transaction back.
struct RollbackTransaction {};

/// One operation on an upstream connection. A connection runs one operation at a time.
using UpstreamOperation = std::variant<ReportStatus, RaiseTerm, Promote, Follow, RunStatements, SettleRequest,
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
  /// The member's status just before the first statement, from the same connection. Set for RunStatements only.
  MemberStatus before;
  /// The member's status just after the commit or the last read. Set for RunStatements and CommitTransaction.
  MemberStatus after;
  /// The request id was recorded earlier, so nothing ran this time and `results` is empty.
  bool already_recorded = false;
};

/// Result of SettleRequest.
struct SettleResult {
  /// True if the write is recorded as run; false if it is void and can never run.
  bool ran = false;
  MemberStatus after;
};

/// Result of an operation; the alternative follows from the operation.
using UpstreamResult = std::variant<StatusResult, GrantResult, StatementsResult, SettleResult>;

/// Kinds of failure at an upstream, as the decision layers tell them apart.
enum class UpstreamErrorKind {
  kConnectFailed,       // No connection came about.
  kTooManyConnections,  // The member's connection limit is reached.
  kConnectionLost,      // The connection broke while the operation was open or idle.
  kNotPrimaryInTerm,    // The member is not the primary in the required term; nothing ran.
  kStatementFailed,     // The member rejected a statement and rolled the transaction back.
  kBadAnswer,           // The member's answer was cut short or does not have the expected form.
};

/// A failed operation or connection attempt.
struct UpstreamError {
  UpstreamErrorKind kind = UpstreamErrorKind::kConnectionLost;
  /// False only if no effect of the operation can exist or come into existence.
  bool may_have_run = true;
  /// The member's SQLSTATE, if it sent one.
  std::string sqlstate;
  std::string message;
};

/// Connections to members of database groups. Results arrive as events of UpstreamEvents.
class UpstreamPort {
 public:
  UpstreamPort() = default;
  UpstreamPort(const UpstreamPort&) = delete;
  UpstreamPort& operator=(const UpstreamPort&) = delete;
  virtual ~UpstreamPort() = default;

  /// Starts to open `connection`. One event on_upstream_opened follows unless the connection is closed first.
  virtual void open_connection(ConnectionId connection, const Endpoint& upstream) = 0;

  /// Starts `operation` on an open, idle connection. One event on_upstream_completed follows unless the connection
  /// is closed first.
  virtual void execute(ConnectionId connection, OperationId operation, UpstreamOperation details) = 0;

  /// Closes the connection at once. No further event of it follows.
  virtual void close_connection(ConnectionId connection) = 0;
};

/// Receives what happens on upstream connections.
class UpstreamEvents {
 public:
  UpstreamEvents() = default;
  UpstreamEvents(const UpstreamEvents&) = delete;
  UpstreamEvents& operator=(const UpstreamEvents&) = delete;
  virtual ~UpstreamEvents() = default;

  /// The connection is open, or failed and is gone.
  virtual void on_upstream_opened(ConnectionId connection, tl::expected<void, UpstreamError> outcome,
                                  TimePoint now) = 0;

  /// The operation ended. After kConnectionLost or kBadAnswer the connection is gone.
  virtual void on_upstream_completed(ConnectionId connection, OperationId operation,
                                     tl::expected<UpstreamResult, UpstreamError> outcome, TimePoint now) = 0;

  /// An idle connection was closed by the member and is gone.
  virtual void on_upstream_closed(ConnectionId connection, TimePoint now) = 0;
};

}  // namespace teaselrudder
