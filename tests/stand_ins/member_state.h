#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/member_status.h"

namespace teaselrudder::testing {

/// A change of a row of the table `kv`. An append is logged as an append, so that concurrent ones are all applied.
struct RowChange {
  enum class Kind : std::uint8_t { kPut, kAppend, kDelete };
  Kind kind = Kind::kPut;
  std::string key;
  std::string value;
};

/// Writes of a transaction.
struct TransactionWrites {
  std::vector<RowChange> changes;
  /// Request records by request id; true if the request was voided, that is, must not run any more.
  std::map<std::string, bool> requests;

  bool empty() const { return changes.empty() && requests.empty(); }
};

/// Table and request records, replayed up to some log position. `requests` is as in TransactionWrites.
struct MemberData {
  std::map<std::string, std::string> rows;
  std::map<std::string, bool> requests;

  void apply(const RowChange& change);
  void apply(const TransactionWrites& writes);
};

/// Persistent state of a member: terms, log and table. Implements sections 3 and 5 of docs/design.md.
class MemberState {
 public:
  MemberStatus status() const;
  const MemberData& data() const { return m_data; }
  bool is_primary() const { return m_is_primary; }
  bool is_primary_in(Term term) const { return m_is_primary && m_raised_term == term; }

  /// Grants the term to the candidate and stops being primary. Returns false if the term is not higher than the raised
  /// one, unless it was granted to the same candidate.
  bool raise_term(Term term, const HostId& candidate);
  /// Makes this member primary. Returns false if the term was not granted to the candidate here, or if the log has
  /// records of the term from another member that was promoted in it.
  bool promote(Term term, const HostId& candidate);
  /// Makes this member a replica that accepts log records of the primary of `term` only. Returns false if the term is
  /// lower than the raised one, or if this member is the primary in it.
  bool follow(Term term);
  bool is_following() const { return m_followed_term == m_raised_term && m_followed_term > Term() && !m_is_primary; }

  /// Appends a transaction to the log and applies it. Call it on a primary only.
  void commit(const TransactionWrites& writes);

  /// Returns the request that a replica sends to its primary.
  std::string replication_request() const;
  /// Returns the primary's answer with all log records after the common prefix of both logs. Empty on a replica.
  std::string answer_replication(std::string_view request) const;
  /// Applies an answer: truncates the log to the common prefix and appends the new records, without replaying them.
  void apply_replication(std::string_view answer);
  /// Applies the log records up to `position` to the data, so that reads see them.
  void replay_until(LogPosition position);
  /// Returns the end of the log.
  LogPosition received() const { return m_log.empty() ? LogPosition() : m_log.back().end; }

 private:
  struct Record {
    Term term;
    LogPosition end;
    std::string payload;
  };

  void append(Term term, std::string payload);
  void truncate(LogPosition position);

  Term m_raised_term;
  HostId m_candidate;
  bool m_is_primary = false;
  Term m_followed_term;
  std::vector<Record> m_log;
  // Number of records of m_log that m_data contains.
  std::size_t m_replayed_records = 0;
  TermHistory m_history;
  MemberData m_data;
};

}  // namespace teaselrudder::testing
