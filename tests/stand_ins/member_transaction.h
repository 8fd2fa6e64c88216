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

/// A rejected statement.
struct SqlFailure {
  std::string sqlstate;
  std::string message;
};

/// The answer to a statement.
struct SqlAnswer {
  std::vector<std::vector<std::string>> rows;
  std::string tag;
};

/// The statement has to wait for a transaction that holds its request id.
struct SqlBlocked {};

using SqlOutcome = std::variant<SqlAnswer, SqlFailure, SqlBlocked>;

/// The transaction of a session, with the execution of its statements.
///
/// Changes are kept aside until the commit, so other sessions see committed data only. There are no row locks.
class MemberTransaction {
 public:
  using Parameters = std::vector<std::optional<std::string>>;

  MemberTransaction(DatabaseMember& member, MemberSession* session) : m_member(member), m_session(session) {}

  SqlOutcome run(SqlKind kind, const Parameters& parameters);
  /// Marks an open transaction as failed: only its end is possible from now on.
  void mark_failed() { m_failed = m_open; }
  void roll_back();
  /// Returns the indicator of the protocol: idle, in a transaction, or in a failed one.
  char indicator() const { return !m_open ? 'I' : (m_failed ? 'E' : 'T'); }

 private:
  SqlOutcome begin(bool read_only);
  SqlOutcome commit();
  SqlOutcome require_term(Term term);
  SqlOutcome record_request(SqlKind kind, const std::string& id);
  SqlOutcome change(RowChange change);
  SqlOutcome select(SqlKind kind, const std::string& key) const;
  SqlOutcome administer(SqlKind kind, const std::string& term_text, const std::string& argument);
  std::optional<SqlFailure> check_writable() const;
  /// Returns the visible rows, those of `key` only unless it is null.
  std::map<std::string, std::string> visible_rows(const std::string* key) const;

  DatabaseMember& m_member;
  MemberSession* const m_session;
  bool m_open = false;
  bool m_failed = false;
  bool m_read_only = false;
  // The member has to be the primary in this term until the transaction ends.
  std::optional<Term> m_required_term;
  TransactionWrites m_writes;
};

}  // namespace teaselrudder::testing
