#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/member_status.h"

namespace teaselrudder::testing {

/// One change of the table `kv`. An append is kept as such, so that concurrent appends are all applied.
struct RowChange {
  enum class Kind : std::uint8_t { kPut, kAppend, kDelete };
  Kind kind = Kind::kPut;
  std::string key;
  std::string value;
};

/// What one transaction writes: its changes and its request records, by id, true if void.
struct TransactionWrites {
  std::vector<RowChange> changes;
  std::map<std::string, bool> requests;

  bool empty() const { return changes.empty() && requests.empty(); }
};

/// The table and the request records up to some position of the log.
struct MemberData {
  std::map<std::string, std::string> rows;
  std::map<std::string, bool> requests;

  void apply(const RowChange& change);
  void apply(const TransactionWrites& writes);
};

/// The persistent state of a member: terms, log, table. Implements sections 3 and 5 of docs/design.md.
class MemberState {
 public:
  MemberStatus status() const;
  const MemberData& data() const { return m_data; }
  bool is_primary() const { return m_is_primary; }
  bool is_primary_in(Term term) const { return m_is_primary && m_raised_term == term; }

  bool raise_term(Term term, const HostId& candidate);
  /// Refuses also if the log has records of the term from another member, which was promoted in it.
  bool promote(Term term, const HostId& candidate);
  /// The member accepts records of `term` from now on, and of no other.
  bool follow(Term term);
  bool is_following() const { return m_followed_term == m_raised_term && m_followed_term > Term() && !m_is_primary; }

  /// Appends a transaction to the log; only on a primary.
  void commit(const TransactionWrites& writes);

  /// Returns the request that a replica sends to its primary.
  std::string replication_request() const;
  /// Returns the answer of a primary, with everything behind the shared part of both logs. Empty on a replica.
  std::string answer_replication(std::string_view request) const;
  /// Takes over an answer: truncates the log to the shared part and appends the rest, without replaying it.
  void apply_replication(std::string_view answer);
  /// Makes the log visible up to `position`.
  void replay_until(LogPosition position);
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
  // The number of records in m_log that m_data contains.
  std::size_t m_replayed_records = 0;
  TermHistory m_history;
  MemberData m_data;
};

}  // namespace teaselrudder::testing
