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

/// One SQL statement with positional parameters; an absent parameter is NULL.
struct Statement {
  std::string sql;
  std::vector<std::optional<std::string>> parameters;

  friend bool operator==(const Statement&, const Statement&) = default;
};

/// What one statement returned, all values in text form; an absent value is NULL.
struct ResultSet {
  std::vector<std::string> columns;
  std::vector<std::vector<std::optional<std::string>>> rows;
  /// Number of rows that the statement changed.
  std::uint64_t affected = 0;

  friend bool operator==(const ResultSet&, const ResultSet&) = default;
};

/// How fresh the data of a read must be.
enum class Freshness { kFresh, kOwnWrites, kMaxAge };

/// How much a request matters when slots are scarce.
enum class Urgency { kUrgent, kNormal, kBackground };

/// What a request asks of its transaction.
enum class TransactionStep {
  kNone,      // All statements run in one transaction of their own and land together.
  kBegin,     // Opens a transaction and runs the statements, if any, in it.
  kContinue,  // Runs the statements in an open transaction.
  kCommit,    // Commits an open transaction.
  kRollback,  // Rolls an open transaction back.
};

/// A caller's request as it arrived: what is absent takes the default of the service.
struct Request {
  ServiceName service;
  std::vector<Statement> statements;
  TransactionStep step = TransactionStep::kNone;
  /// Names the transaction for kContinue, kCommit and kRollback.
  TransactionHandle transaction;
  /// The session token of an earlier answer, as it was issued; empty for a new session.
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

/// A session's position: everything up to `point` must be visible to its reads.
struct SessionPosition {
  LogPoint point;
  /// A write of the session in term `point.term` has an unknown outcome, so only the primary can serve own-writes
  /// reads.
  bool uncertain = false;

  friend bool operator==(const SessionPosition&, const SessionPosition&) = default;
};

/// A request with all defaults applied, as hosts pass it on. Times are durations, because clocks are not shared.
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
  /// Time left until the deadline when the envelope was sent.
  Duration remaining{0};
  bool idempotent = false;
  bool read_only = false;
  RequestId request_id;
  /// Hosts crossed so far.
  std::uint32_t hops = 0;
  /// The member that the sender chose, if it chose one.
  std::optional<MemberId> target;
  /// The term in which the sender expects `target` to be the primary; zero if it does not matter.
  Term term;

  friend bool operator==(const RequestEnvelope&, const RequestEnvelope&) = default;
};

/// What a served request returns.
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

/// The session position that goes with a refusal whose outcome is unknown travels beside the refusal.
struct RefusedRequest {
  Refusal refusal;
  SessionPosition session;

  friend bool operator==(const RefusedRequest&, const RefusedRequest&) = default;
};

/// The outcome of a request between hosts and inside one.
using RequestOutcome = tl::expected<RequestAnswer, RefusedRequest>;

}  // namespace teaselrudder
