#include "tests/stand_ins/member_transaction.h"

#include <charconv>

#include "tests/stand_ins/database_member.h"

namespace teaselrudder::testing {

namespace {

std::string boolean(bool value) { return value ? "t" : "f"; }

std::optional<Term> read_term(const std::string& text) {
  std::uint64_t term = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), term);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? std::optional(Term(term)) : std::nullopt;
}

std::vector<std::string> status_row(const MemberStatus& status) {
  return {std::to_string(status.raised_term.value()),
          status.candidate.value(),
          std::to_string(status.log_term.value()),
          std::to_string(status.received.value()),
          std::to_string(status.replayed.value()),
          boolean(status.is_primary),
          status.history.to_string()};
}

}  // namespace

SqlOutcome MemberTransaction::run(SqlKind kind, const Parameters& parameters) {
  const std::string first = parameters.empty() ? "" : parameters[0].value_or("");
  const std::string second = parameters.size() < 2 ? "" : parameters[1].value_or("");
  if (kind == SqlKind::kCommit) {
    return commit();
  }
  if (kind == SqlKind::kRollback) {
    roll_back();
    return SqlAnswer{{}, "ROLLBACK"};
  }
  if (m_failed) {
    return SqlFailure{"25P02", "current transaction is aborted, commands ignored until end of transaction block"};
  }
  switch (kind) {
    case SqlKind::kBegin:
    case SqlKind::kBeginReadOnly:
      return begin(kind == SqlKind::kBeginReadOnly);
    case SqlKind::kRequireTerm:
      return require_term(read_term(first).value_or(Term()));
    case SqlKind::kRecordRequest:
    case SqlKind::kRecordRequestOrFail:
    case SqlKind::kVoidRequest:
      return record_request(kind, first);
    case SqlKind::kPut:
      return change({RowChange::Kind::kPut, first, second});
    case SqlKind::kAppend:
      return change({RowChange::Kind::kAppend, first, second});
    case SqlKind::kDelete:
      return change({RowChange::Kind::kDelete, first, ""});
    case SqlKind::kSelectValue:
    case SqlKind::kSelectRow:
      return select(kind, first);
    case SqlKind::kSelectAll:
      return select(kind, "");
    case SqlKind::kSleep:
      return SqlAnswer{{{""}}, "SELECT 1"};
    default:
      return run_member_function(kind, first, second);
  }
}

void MemberTransaction::roll_back() {
  m_open = false;
  m_failed = false;
  m_read_only = false;
  m_required_term.reset();
  m_writes = {};
  m_member.release_requests(m_session);
}

SqlOutcome MemberTransaction::begin(bool read_only) {
  m_open = true;
  m_read_only = read_only;
  return SqlAnswer{{}, "BEGIN"};
}

SqlOutcome MemberTransaction::commit() {
  const bool failed = m_failed;
  const bool term_lost = m_required_term.has_value() && !m_member.state().is_primary_in(*m_required_term);
  const bool primary_lost = !m_writes.empty() && !m_member.state().is_primary();
  if (!failed && !term_lost && !primary_lost && !m_writes.empty()) {
    m_member.state().commit(m_writes);
  }
  roll_back();
  if (!failed && (term_lost || primary_lost)) {
    return SqlFailure{"TR001", "not the primary in the required term"};
  }
  return SqlAnswer{{}, failed ? "ROLLBACK" : "COMMIT"};
}

SqlOutcome MemberTransaction::require_term(Term term) {
  if (!m_member.state().is_primary_in(term)) {
    return SqlFailure{"TR001", "not the primary in the required term"};
  }
  if (m_open) {
    m_required_term = term;
  }
  return SqlAnswer{{{""}}, "SELECT 1"};
}

std::optional<SqlFailure> MemberTransaction::check_writable() const {
  if (m_read_only || !m_member.state().is_primary()) {
    return SqlFailure{"25006", "cannot write in a read-only transaction"};
  }
  if (m_required_term.has_value() && !m_member.state().is_primary_in(*m_required_term)) {
    return SqlFailure{"TR001", "not the primary in the required term"};
  }
  return std::nullopt;
}

SqlOutcome MemberTransaction::record_request(SqlKind kind, const std::string& id) {
  if (std::optional<SqlFailure> failure = check_writable()) {
    return std::move(*failure);
  }
  if (!m_member.reserve_request(m_session, id)) {
    return SqlBlocked{};
  }
  const std::map<std::string, bool>& recorded = m_member.state().data().requests;
  const auto found = recorded.find(id);
  const bool is_new = found == recorded.end() && !m_writes.requests.contains(id);
  if (kind == SqlKind::kRecordRequestOrFail && !is_new) {
    if (!m_open) {
      roll_back();
    }
    return SqlFailure{"22012", "division by zero"};
  }
  if (is_new) {
    m_writes.requests[id] = kind == SqlKind::kVoidRequest;
  }
  SqlAnswer answer{{{boolean(is_new)}}, "SELECT 1"};
  if (kind == SqlKind::kVoidRequest) {
    const bool is_void = found == recorded.end() ? m_writes.requests[id] : found->second;
    answer.rows = {{is_void ? "voided" : "ran"}};
  } else if (kind == SqlKind::kRecordRequestOrFail) {
    answer.rows = {{"1"}};
  }
  if (!m_open) {
    commit();
  }
  return answer;
}

SqlOutcome MemberTransaction::change(RowChange change) {
  if (std::optional<SqlFailure> failure = check_writable()) {
    return std::move(*failure);
  }
  const bool exists = !visible_rows(&change.key).empty();
  const bool put = change.kind == RowChange::Kind::kPut;
  const std::string count = put || exists ? "1" : "0";
  const std::string verb = put ? "INSERT 0 " : (change.kind == RowChange::Kind::kAppend ? "UPDATE " : "DELETE ");
  m_writes.changes.push_back(std::move(change));
  if (!m_open) {
    commit();
  }
  return SqlAnswer{{}, verb + count};
}

SqlOutcome MemberTransaction::select(SqlKind kind, const std::string& key) const {
  SqlAnswer answer;
  for (const auto& [row_key, value] : visible_rows(kind == SqlKind::kSelectAll ? nullptr : &key)) {
    answer.rows.push_back(kind == SqlKind::kSelectValue ? std::vector{value} : std::vector{row_key, value});
  }
  answer.tag = "SELECT " + std::to_string(answer.rows.size());
  return answer;
}

SqlOutcome MemberTransaction::run_member_function(SqlKind kind, const std::string& term_text,
                                                  const std::string& argument) {
  MemberState& state = m_member.state();
  if (kind == SqlKind::kMemberStatus) {
    return SqlAnswer{{status_row(state.status())}, "SELECT 1"};
  }
  const std::optional<Term> term = read_term(term_text);
  if (!term.has_value()) {
    return SqlFailure{"22P02", "invalid term"};
  }
  bool granted = false;
  if (kind == SqlKind::kRaiseTerm) {
    granted = state.raise_term(*term, HostId(argument));
  } else if (kind == SqlKind::kPromote) {
    granted = state.promote(*term, HostId(argument));
  } else {
    granted = state.follow(*term);
    if (granted) {
      m_member.follow(argument);
    }
  }
  std::vector<std::string> row = status_row(state.status());
  row.insert(row.begin(), boolean(granted));
  return SqlAnswer{{row}, "SELECT 1"};
}

std::map<std::string, std::string> MemberTransaction::visible_rows(const std::string* key) const {
  const std::map<std::string, std::string>& committed = m_member.state().data().rows;
  MemberData visible;
  if (key == nullptr) {
    visible.rows = committed;
  } else if (const auto row = committed.find(*key); row != committed.end()) {
    visible.rows.insert(*row);
  }
  for (const RowChange& change : m_writes.changes) {
    if (key == nullptr || change.key == *key) {
      visible.apply(change);
    }
  }
  return std::move(visible.rows);
}

}  // namespace teaselrudder::testing
