#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tests/stand_ins/member_sql_reader.h"
#include "tests/stand_ins/member_state.h"

namespace teaselrudder::testing {

class DatabaseMember;
class MemberSession;

/// The error of a rejected statement.
struct SqlFailure {
  std::string sqlstate;
  std::string message;
};

/// The result of a successful statement.
struct SqlAnswer {
  std::vector<std::vector<std::string>> rows;
  std::string tag;
};

/// The statement has to wait for another transaction that reserved its request id.
struct SqlBlocked {};

using SqlOutcome = std::variant<SqlAnswer, SqlFailure, SqlBlocked>;

/// Transaction state of a session; executes its statements.
///
/// Changes are buffered until the commit, so that other sessions see committed data only. There are no row locks.
class MemberTransaction {
 public:
  using Parameters = std::vector<std::optional<std::string>>;

  MemberTransaction(DatabaseMember& member, MemberSession* session) : m_member(member), m_session(session) {}

  SqlOutcome run(SqlKind kind, const Parameters& parameters);
  /// Marks an open transaction as failed: it accepts only COMMIT, which rolls back, and ROLLBACK.
  void mark_failed() { m_failed = m_open; }
  void roll_back();
  /// Returns the transaction status of the PostgreSQL protocol: 'I' idle, 'T' in a transaction, 'E' in a failed one.
  char indicator() const { return !m_open ? 'I' : (m_failed ? 'E' : 'T'); }

 private:
  SqlOutcome begin(bool read_only);
  SqlOutcome commit();
  SqlOutcome require_term(Term term);
  SqlOutcome record_request(SqlKind kind, const std::string& id);
  SqlOutcome change(RowChange change);
  SqlOutcome select(SqlKind kind, const std::string& key) const;
  SqlOutcome run_member_function(SqlKind kind, const std::string& term_text, const std::string& argument);
  std::optional<SqlFailure> check_writable() const;
  /// Returns the rows that this transaction sees: the row of `key`, or all rows if it is null.
  std::map<std::string, std::string> visible_rows(const std::string* key) const;

  DatabaseMember& m_member;
  MemberSession* const m_session;
  bool m_open = false;
  bool m_failed = false;
  bool m_read_only = false;
  // The commit fails unless the member is the primary in this term.
  std::optional<Term> m_required_term;
  TransactionWrites m_writes;
};

}  // namespace teaselrudder::testing
