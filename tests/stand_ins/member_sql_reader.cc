#include "tests/stand_ins/member_sql_reader.h"

#include <cctype>
#include <map>

namespace teaselrudder::testing {

namespace {

using Columns = std::vector<std::string>;

/// Returns `sql` in lower case without white space and without the final semicolon.
std::string normalize(std::string_view sql) {
  std::string normalized;
  for (const char character : sql) {
    if (std::isspace(static_cast<unsigned char>(character)) == 0) {
      normalized += static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    }
  }
  return normalized.ends_with(';') ? normalized.substr(0, normalized.size() - 1) : normalized;
}

std::map<std::string, SqlStatement> supported_statements() {
  const Columns status = {"raised_term", "candidate", "log_term", "received", "replayed", "is_primary", "history"};
  Columns grant = {"granted"};
  grant.insert(grant.end(), status.begin(), status.end());
  const Columns row = {"key", "value"};
  const std::string conflict = " ON CONFLICT (key) DO UPDATE SET value = excluded.value";
  const std::vector<std::pair<std::string, SqlStatement>> statements = {
      {"BEGIN", {SqlKind::kBegin, {}}},
      {"BEGIN READ ONLY", {SqlKind::kBeginReadOnly, {}}},
      {"COMMIT", {SqlKind::kCommit, {}}},
      {"ROLLBACK", {SqlKind::kRollback, {}}},
      {"SELECT * FROM teaselrudder.member_status()", {SqlKind::kMemberStatus, status}},
      {"SELECT * FROM teaselrudder.raise_term($1, $2)", {SqlKind::kRaiseTerm, grant}},
      {"SELECT * FROM teaselrudder.promote($1, $2)", {SqlKind::kPromote, grant}},
      {"SELECT * FROM teaselrudder.follow($1, $2)", {SqlKind::kFollow, grant}},
      {"SELECT teaselrudder.require_term($1)", {SqlKind::kRequireTerm, {"require_term"}}},
      {"SELECT teaselrudder.record_request($1)", {SqlKind::kRecordRequest, {"record_request"}}},
      {"SELECT 1 / teaselrudder.record_request($1)::int", {SqlKind::kRecordRequestOrFail, {"?column?"}}},
      {"SELECT teaselrudder.void_request($1)", {SqlKind::kVoidRequest, {"void_request"}}},
      {"INSERT INTO kv (key, value) VALUES ($1, $2)" + conflict, {SqlKind::kPut, {}}},
      {"INSERT INTO kv VALUES ($1, $2)" + conflict, {SqlKind::kPut, {}}},
      {"UPDATE kv SET value = value || $2 WHERE key = $1", {SqlKind::kAppend, {}}},
      {"DELETE FROM kv WHERE key = $1", {SqlKind::kDelete, {}}},
      {"SELECT value FROM kv WHERE key = $1", {SqlKind::kSelectValue, {"value"}}},
      {"SELECT key, value FROM kv WHERE key = $1", {SqlKind::kSelectRow, row}},
      {"SELECT * FROM kv WHERE key = $1", {SqlKind::kSelectRow, row}},
      {"SELECT key, value FROM kv", {SqlKind::kSelectAll, row}},
      {"SELECT key, value FROM kv ORDER BY key", {SqlKind::kSelectAll, row}},
      {"SELECT * FROM kv", {SqlKind::kSelectAll, row}},
      {"SELECT pg_sleep($1)", {SqlKind::kSleep, {"pg_sleep"}}},
  };
  std::map<std::string, SqlStatement> by_text;
  for (const auto& [sql, statement] : statements) {
    by_text[normalize(sql)] = statement;
  }
  return by_text;
}

}  // namespace

const SqlStatement* find_statement(std::string_view sql) {
  static const std::map<std::string, SqlStatement> by_text = supported_statements();
  const auto found = by_text.find(normalize(sql));
  return found == by_text.end() ? nullptr : &found->second;
}

}  // namespace teaselrudder::testing
