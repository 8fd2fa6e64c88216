#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/log_point.h"
#include "core/refusal.h"
#include "core/time.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// An SQL statement with positional parameters; nullopt stands for NULL.
struct Statement {
  std::string sql;
  std::vector<std::optional<std::string>> parameters;

  friend bool operator==(const Statement&, const Statement&) = default;
};

/// Result of a statement, with all values in text form; nullopt stands for NULL.
struct ResultSet {
  std::vector<std::string> columns;
  std::vector<std::vector<std::optional<std::string>>> rows;
  /// Number of rows that the statement changed.
  std::uint64_t affected = 0;

  friend bool operator==(const ResultSet&, const ResultSet&) = default;
};

/// Which data a read must see: the newest, the session's own writes, or data that is not older than a maximum age.
enum class Freshness { kFresh, kOwnWrites, kMaxAge };

/// Priority of a request in the queue for a member's slots.
enum class Urgency { kUrgent, kNormal, kBackground };

/// How a request relates to a transaction.
enum class TransactionStep {
  kNone,      // Runs all statements atomically in a transaction of their own.
  kBegin,     // Opens a transaction and runs the statements, if any, in it.
  kContinue,  // Runs the statements in an open transaction.
  kCommit,    // Commits an open transaction.
  kRollback,  // Rolls back an open transaction.
};

/// A request as received from a caller. Absent options take the defaults of the service.
struct Request {
  ServiceName service;
  std::vector<Statement> statements;
  TransactionStep step = TransactionStep::kNone;
  /// The open transaction, for kContinue, kCommit and kRollback.
  TransactionHandle transaction;
  /// The session token from the previous answer, unchanged; empty for a new session.
  std::string token;
  std::optional<Freshness> freshness;
  std::optional<Duration> max_age;
  std::optional<Urgency> urgency;
  /// Time from arrival until the caller no longer needs the answer.
  std::optional<Duration> deadline;
  std::optional<bool> idempotent;
  std::optional<bool> read_only;
  std::optional<RequestId> request_id;

  friend bool operator==(const Request&, const Request&) = default;
};

/// Position of a session in its group's log. The session's reads must see everything up to `point`.
struct SessionPosition {
  LogPoint point;
  /// True if a write of the session in the term `point.term` has an unknown outcome, so that only the primary can serve
  /// reads with Freshness::kOwnWrites.
  bool uncertain = false;

  friend bool operator==(const SessionPosition&, const SessionPosition&) = default;
};

/// A request with all defaults applied, as hosts forward it. It contains durations instead of points in time, because
/// the clocks of hosts are not synchronized.
struct RequestEnvelope {
  ServiceName service;
  GroupId group;
  std::vector<Statement> statements;
  TransactionStep step = TransactionStep::kNone;
  TransactionHandle transaction;
  SessionPosition session;
  Freshness freshness = Freshness::kFresh;
  Duration max_age{0};
  Urgency urgency = Urgency::kNormal;
  /// Time until the deadline, measured when the envelope was sent.
  Duration remaining{0};
  bool idempotent = false;
  bool read_only = false;
  RequestId request_id;
  /// Number of times that the request has been forwarded between hosts.
  std::uint32_t hops = 0;
  /// The member selected by the sender, if any.
  std::optional<MemberId> target;
  /// The term in which the sender expects `target` to be the primary; zero if the role does not matter.
  Term term;

  friend bool operator==(const RequestEnvelope&, const RequestEnvelope&) = default;
};

/// Result of a request that was served.
struct RequestAnswer {
  std::vector<ResultSet> results;
  /// The session's position after the request.
  SessionPosition session;
  RequestId request_id;
  /// The member that ran the request.
  MemberId served_by;
  /// True if `served_by` was the primary.
  bool by_primary = false;
  /// The handle of the open transaction after kBegin; otherwise empty.
  TransactionHandle transaction;

  friend bool operator==(const RequestAnswer&, const RequestAnswer&) = default;
};

/// A refusal with the session's position after it, which records the uncertainty if the outcome is unknown.
struct RefusedRequest {
  Refusal refusal;
  SessionPosition session;

  friend bool operator==(const RefusedRequest&, const RefusedRequest&) = default;
};

/// Outcome of a request, within a host and between hosts.
using RequestOutcome = tl::expected<RequestAnswer, RefusedRequest>;

}  // namespace teaselrudder
