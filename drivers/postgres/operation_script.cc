#include "drivers/postgres/operation_script.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "drivers/postgres/member_sql.h"

namespace teaselrudder {

namespace {

/// The PostgreSQL protocol has a 16-bit parameter count.
constexpr std::size_t kMaxParameters = 65535;

bool contains_zero(std::string_view text) { return text.find('\0') != std::string_view::npos; }

/// Visitor that builds the script of an operation.
class ScriptBuilder {
 public:
  void operator()(const ReportStatus& /*operation*/) { add(CommandRole::kStatusAfter, member_sql::kMemberStatus); }

  void operator()(const RaiseTerm& operation) {
    add(CommandRole::kFunctionResult, member_sql::kRaiseTerm, {number(operation.term), operation.candidate.value()});
  }

  void operator()(const Promote& operation) {
    add(CommandRole::kFunctionResult, member_sql::kPromote, {number(operation.term), operation.candidate.value()});
  }

  void operator()(const Follow& operation) {
    const std::string address = operation.primary.ip + ":" + std::to_string(operation.primary.port);
    add(CommandRole::kFunctionResult, member_sql::kFollow, {number(operation.term), address});
  }

  void operator()(const RunStatements& operation) {
    if (operation.read_only) {
      add(CommandRole::kStatusBefore, member_sql::kMemberStatus);
      add(CommandRole::kControl, member_sql::kBeginReadOnly);
    } else {
      begin_write(operation.term);
      add(CommandRole::kRecordRequestId, member_sql::kRecordRequest, {operation.request_id.value()});
      add(CommandRole::kStatusBefore, member_sql::kMemberStatus);
    }
    add_statements(operation.statements);
    add_sync();
    commit();
  }

  void operator()(const ResolveWrite& operation) {
    begin_write(operation.term);
    add(CommandRole::kFunctionResult, member_sql::kVoidRequest, {operation.request_id.value()});
    add_sync();
    commit();
  }

  void operator()(const BeginTransaction& operation) {
    if (operation.read_only) {
      add(CommandRole::kControl, member_sql::kBeginReadOnly);
      return;
    }
    begin_write(operation.term);
    add(CommandRole::kRecordRequestId, member_sql::kRecordRequest, {operation.request_id.value()});
  }

  void operator()(const RunInTransaction& operation) { add_statements(operation.statements); }

  void operator()(const CommitTransaction& /*operation*/) { commit(); }

  void operator()(const RollbackTransaction& /*operation*/) { add(CommandRole::kControl, member_sql::kRollback); }

  OperationScript finish() {
    add_sync();
    return std::move(m_script);
  }

 private:
  static std::string number(Term term) { return std::to_string(term.value()); }

  void add(CommandRole role, std::string_view sql, std::vector<std::optional<std::string>> parameters = {}) {
    m_script.push_back({role, std::string(sql), std::move(parameters)});
  }

  void add_sync() { add(CommandRole::kSync, ""); }

  void begin_write(Term term) {
    add(CommandRole::kControl, member_sql::kBegin);
    add(CommandRole::kControl, member_sql::kRequireTerm, {number(term)});
  }

  void add_statements(const std::vector<Statement>& statements) {
    for (const Statement& statement : statements) {
      add(CommandRole::kStatement, statement.sql, statement.parameters);
    }
  }

  void commit() {
    add(CommandRole::kCommit, member_sql::kCommit);
    add(CommandRole::kStatusAfter, member_sql::kMemberStatus);
  }

  OperationScript m_script;
};

/// Returns the part of `sql` after the block comment at its start, which may contain nested comments.
std::string_view skip_block_comment(std::string_view sql) {
  int depth = 0;
  while (!sql.empty()) {
    if (sql.starts_with("/*") || sql.starts_with("*/")) {
      depth += sql.front() == '/' ? 1 : -1;
      sql.remove_prefix(2);
      if (depth == 0) {
        return sql;
      }
      continue;
    }
    sql.remove_prefix(1);
  }
  return sql;
}

/// Returns `sql` without leading white space, comments and empty statements.
std::string_view skip_to_first_word(std::string_view sql) {
  while (!sql.empty()) {
    if (std::isspace(static_cast<unsigned char>(sql.front())) != 0 || sql.front() == ';') {
      sql.remove_prefix(1);
    } else if (sql.starts_with("--")) {
      sql.remove_prefix(std::min(sql.find_first_of("\r\n"), sql.size()));
    } else if (sql.starts_with("/*")) {
      sql = skip_block_comment(sql);
    } else {
      break;
    }
  }
  return sql;
}

}  // namespace

OperationScript build_script(const UpstreamOperation& operation) {
  ScriptBuilder builder;
  std::visit(builder, operation);
  return builder.finish();
}

OperationScript build_rollback_script() {
  return {{CommandRole::kControl, member_sql::kRollback, {}},
          {CommandRole::kStatusAfter, member_sql::kMemberStatus, {}},
          {CommandRole::kSync, "", {}}};
}

bool is_session_statement(std::string_view sql) {
  static constexpr std::array<std::string_view, 18> kSessionWords = {
      "abort", "begin",   "checkpoint", "commit", "copy",     "deallocate", "discard", "end",   "listen",
      "load",  "prepare", "release",    "reset",  "rollback", "savepoint",  "set",     "start", "unlisten"};
  std::string word;
  for (const char character : skip_to_first_word(sql)) {
    if (std::isalpha(static_cast<unsigned char>(character)) == 0) {
      break;
    }
    word += static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  return std::find(kSessionWords.begin(), kSessionWords.end(), word) != kSessionWords.end();
}

std::optional<UpstreamError> find_refusal(const OperationScript& script) {
  const auto refuse = [](const char* sqlstate, const char* message) {
    return UpstreamError{UpstreamErrorKind::kStatementFailed, false, sqlstate, message};
  };
  for (const ScriptCommand& command : script) {
    if (command.role == CommandRole::kStatement && is_session_statement(command.sql)) {
      return refuse(member_sql::kFeatureNotSupported,
                    "the statement controls the transaction or the session, which callers may not do");
    }
    if (command.parameters.size() > kMaxParameters) {
      return refuse(member_sql::kTooManyArguments,
                    "the statement has more parameters than the PostgreSQL protocol allows");
    }
    const bool has_zero_byte = std::any_of(
        command.parameters.begin(), command.parameters.end(),
        [](const std::optional<std::string>& parameter) { return parameter.has_value() && contains_zero(*parameter); });
    if (has_zero_byte || contains_zero(command.sql)) {
      return refuse(member_sql::kInvalidCharacter, "a statement or parameter contains a zero byte");
    }
  }
  return std::nullopt;
}

}  // namespace teaselrudder
