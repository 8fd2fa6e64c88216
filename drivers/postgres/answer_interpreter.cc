#include "drivers/postgres/answer_interpreter.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <string_view>

#include "drivers/postgres/member_sql.h"

namespace teaselrudder {

namespace {

using State = CommandOutcome::State;

/// Reads the values of a result with exactly one row by column name. Remembers the first error.
class SingleRowReader {
 public:
  explicit SingleRowReader(const ResultSet& result) {
    if (result.rows.size() != 1 || result.rows.front().size() != result.columns.size()) {
      m_error = "the result does not have exactly one row";
      return;
    }
    for (std::size_t column = 0; column < result.columns.size(); ++column) {
      m_values[result.columns[column]] = result.rows.front()[column];
    }
  }

  /// Returns the value of a column as text; NULL is returned as an empty string.
  std::string text(const std::string& column) {
    const auto found = m_values.find(column);
    if (found == m_values.end()) {
      fail("the result has no column " + column);
      return "";
    }
    return found->second.value_or("");
  }

  std::uint64_t number(const std::string& column) {
    const std::string digits = text(column);
    const char* const end = digits.data() + digits.size();
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(digits.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      fail("invalid number in column " + column);
    }
    return value;
  }

  bool boolean(const std::string& column) {
    const std::string value = text(column);
    if (value != "t" && value != "f") {
      fail("invalid boolean in column " + column);
    }
    return value == "t";
  }

  void fail(const std::string& message) {
    if (m_error.empty()) {
      m_error = message;
    }
  }

  /// Returns the first error, or an empty string if there was none.
  const std::string& error() const { return m_error; }

 private:
  std::map<std::string, std::optional<std::string>> m_values;
  std::string m_error;
};

UpstreamError bad_answer(const std::string& message) { return {UpstreamErrorKind::kBadAnswer, true, "", message}; }

std::size_t find_failed_command(const std::vector<CommandOutcome>& outcomes) {
  const auto failed = std::find_if(outcomes.begin(), outcomes.end(),
                                   [](const CommandOutcome& outcome) { return outcome.state == State::kFailed; });
  return static_cast<std::size_t>(failed - outcomes.begin());
}

bool is_already_recorded(const ScriptCommand& command, const CommandOutcome& outcome) {
  return command.role == CommandRole::kRecordRequestId && outcome.sqlstate == member_sql::kDivisionByZero;
}

/// Returns true if the operation of `command` has no effect after `command` failed with `outcome`.
bool failure_leaves_no_effect(const ScriptCommand& command, const CommandOutcome& outcome) {
  switch (command.role) {
    case CommandRole::kCommit:
    case CommandRole::kFunctionResult:
      return !outcome.fatal && outcome.sqlstate != member_sql::kCompletionUnknown &&
             outcome.sqlstate != member_sql::kResolutionUnknown;
    case CommandRole::kStatusAfter:
      return false;
    default:
      return !is_already_recorded(command, outcome);
  }
}

/// Reads the result of an operation from the outcomes of its commands.
class AnswerReader {
 public:
  AnswerReader(const OperationScript& script, const std::vector<CommandOutcome>& outcomes)
      : m_script(script), m_outcomes(outcomes) {}

  tl::expected<UpstreamResult, UpstreamError> read_status() const {
    return status(CommandRole::kStatusAfter)
        .map([](MemberStatus report) -> UpstreamResult { return StatusResult{std::move(report)}; })
        .map_error(bad_answer);
  }

  tl::expected<UpstreamResult, UpstreamError> read_grant_result() const {
    const CommandOutcome* outcome = find(CommandRole::kFunctionResult);
    if (outcome == nullptr) {
      return tl::unexpected(bad_answer("the member returned no result for the function call"));
    }
    tl::expected<MemberStatus, std::string> report = parse_member_status(outcome->result);
    SingleRowReader row(outcome->result);
    const bool granted = row.boolean("granted");
    if (!report.has_value() || !row.error().empty()) {
      return tl::unexpected(bad_answer(report.has_value() ? row.error() : report.error()));
    }
    return GrantResult{granted, std::move(*report)};
  }

  tl::expected<UpstreamResult, UpstreamError> read_resolve_result() const {
    const CommandOutcome* outcome = find(CommandRole::kFunctionResult);
    const tl::expected<MemberStatus, std::string> after = status(CommandRole::kStatusAfter);
    if (outcome == nullptr || !after.has_value()) {
      return tl::unexpected(bad_answer("the result of void_request or member_status is missing or invalid"));
    }
    SingleRowReader row(outcome->result);
    const std::string verdict = outcome->result.columns.empty() ? "" : row.text(outcome->result.columns.front());
    if (verdict != "ran" && verdict != "voided") {
      return tl::unexpected(bad_answer("void_request returned a value that is neither 'ran' nor 'voided'"));
    }
    return ResolveWriteResult{verdict == "ran", *after};
  }

  tl::expected<UpstreamResult, UpstreamError> read_statements() const {
    StatementsResult result;
    for (std::size_t index = 0; index < m_script.size(); ++index) {
      if (m_script[index].role == CommandRole::kStatement) {
        result.results.push_back(m_outcomes[index].result);
      }
    }
    for (const auto& [role, target] :
         {std::pair(CommandRole::kStatusBefore, &result.before), std::pair(CommandRole::kStatusAfter, &result.after)}) {
      if (find(role) == nullptr) {
        continue;
      }
      const tl::expected<MemberStatus, std::string> report = status(role);
      if (!report.has_value()) {
        return tl::unexpected(bad_answer(report.error()));
      }
      *target = *report;
    }
    return result;
  }

  tl::expected<UpstreamResult, UpstreamError> read_already_recorded() const {
    StatementsResult result;
    result.already_recorded = true;
    const tl::expected<MemberStatus, std::string> after = status(CommandRole::kStatusAfter);
    if (!after.has_value()) {
      return tl::unexpected(bad_answer(after.error()));
    }
    result.after = *after;
    return result;
  }

 private:
  const CommandOutcome* find(CommandRole role) const {
    for (std::size_t index = 0; index < m_script.size(); ++index) {
      if (m_script[index].role == role && m_outcomes[index].state == State::kCompleted) {
        return &m_outcomes[index];
      }
    }
    return nullptr;
  }

  tl::expected<MemberStatus, std::string> status(CommandRole role) const {
    const CommandOutcome* outcome = find(role);
    if (outcome == nullptr) {
      return tl::unexpected(std::string("the member returned no status"));
    }
    return parse_member_status(outcome->result);
  }

  const OperationScript& m_script;
  const std::vector<CommandOutcome>& m_outcomes;
};

UpstreamError to_error(const ScriptCommand& command, const CommandOutcome& outcome) {
  UpstreamError error{UpstreamErrorKind::kStatementFailed, !failure_leaves_no_effect(command, outcome),
                      outcome.sqlstate, outcome.message};
  if (outcome.sqlstate == member_sql::kNotPrimaryInTerm) {
    error.kind = UpstreamErrorKind::kNotPrimaryInTerm;
  }
  // The operation may have run, but without the member status its result is incomplete. kBadAnswer makes the caller
  // give up the connection.
  if (command.role == CommandRole::kStatusAfter) {
    error.kind = UpstreamErrorKind::kBadAnswer;
  }
  return error;
}

/// Returns an error if the member responded to COMMIT with the tag ROLLBACK instead of an error, or with an unknown
/// tag.
std::optional<UpstreamError> find_silent_rollback(const OperationScript& script,
                                                  const std::vector<CommandOutcome>& outcomes) {
  for (std::size_t index = 0; index < script.size(); ++index) {
    if (script[index].role != CommandRole::kCommit || outcomes[index].tag == "COMMIT") {
      continue;
    }
    if (outcomes[index].tag == "ROLLBACK") {
      return UpstreamError{UpstreamErrorKind::kStatementFailed, false, member_sql::kTransactionRolledBack,
                           "the member rolled back the transaction at COMMIT"};
    }
    return bad_answer("the member responded to COMMIT with an unexpected command tag: " + outcomes[index].tag);
  }
  return std::nullopt;
}

}  // namespace

tl::expected<MemberStatus, std::string> parse_member_status(const ResultSet& result) {
  SingleRowReader row(result);
  MemberStatus status;
  status.raised_term = Term(row.number("raised_term"));
  status.candidate = HostId(row.text("candidate"));
  status.log_term = Term(row.number("log_term"));
  status.received = LogPosition(row.number("received"));
  status.replayed = LogPosition(row.number("replayed"));
  status.is_primary = row.boolean("is_primary");
  const tl::expected<TermHistory, TermHistoryError> history = TermHistory::parse(row.text("history"));
  if (!history.has_value()) {
    row.fail("invalid term history in column history");
  }
  if (!row.error().empty()) {
    return tl::unexpected(row.error());
  }
  status.history = *history;
  return status;
}

tl::expected<UpstreamResult, UpstreamError> interpret_answer(const UpstreamOperation& operation,
                                                             const OperationScript& script,
                                                             const std::vector<CommandOutcome>& outcomes) {
  const AnswerReader reader(script, outcomes);
  const std::size_t failure = find_failed_command(outcomes);
  if (failure < outcomes.size()) {
    if (is_already_recorded(script[failure], outcomes[failure])) {
      return reader.read_already_recorded();
    }
    return tl::unexpected(to_error(script[failure], outcomes[failure]));
  }
  if (std::optional<UpstreamError> rolled_back = find_silent_rollback(script, outcomes)) {
    return tl::unexpected(std::move(*rolled_back));
  }
  if (std::holds_alternative<ReportStatus>(operation)) {
    return reader.read_status();
  }
  if (std::holds_alternative<RaiseTerm>(operation) || std::holds_alternative<Promote>(operation) ||
      std::holds_alternative<Follow>(operation)) {
    return reader.read_grant_result();
  }
  if (std::holds_alternative<ResolveWrite>(operation)) {
    return reader.read_resolve_result();
  }
  return reader.read_statements();
}

bool rules_out_effects(const OperationScript& script, const std::vector<CommandOutcome>& outcomes) {
  const std::size_t failure = find_failed_command(outcomes);
  return failure < outcomes.size() && failure_leaves_no_effect(script[failure], outcomes[failure]);
}

}  // namespace teaselrudder
