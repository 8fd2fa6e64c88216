#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/overloaded.h"
#include "core/ports/upstream_port.h"
#include "misc/measure/member_model.h"

// Header-only, because both the measurement programs and the tests use it.
namespace teaselrudder::model {

/// Content of a log record: pairs of a key and the text that is appended to its value. A void record has none and marks
/// its request as not executed.
struct WrittenRecord {
  RequestId request;
  bool is_void = false;
  std::vector<std::pair<std::string, std::string>> appends;
};

/// Writes of the open transaction of a connection, and the term in which it began. No writes if none is open.
struct OpenWrites {
  std::optional<WrittenRecord> writes;
  Term term;
};

/// Executes upstream operations on member models. There are two statements: `append` appends its second parameter to
/// the value of the key in the first one, and `read` returns the value of the key in its parameter.
class MemberStatements {
 public:
  /// If set, called once after the commit of the next write and before the status in its answer is taken.
  std::function<void()> after_commit;

  /// Executes `operation` on a connection to the member `model`. `open` is the transaction of the connection.
  tl::expected<UpstreamResult, UpstreamError> execute(MemberModel& model, OpenWrites& open,
                                                      const UpstreamOperation& operation) {
    using Result = tl::expected<UpstreamResult, UpstreamError>;
    return std::visit(
        Overloaded{
            [&](const ReportStatus&) -> Result { return StatusResult{model.status()}; },
            [&](const RaiseTerm& raise) -> Result { return model.raise_term(raise.term, raise.candidate); },
            [&](const Promote& promote) -> Result { return model.promote(promote.term, promote.candidate); },
            [&](const Follow& follow) -> Result { return model.follow(follow.term, follow.primary.port - 2000U); },
            [&](const RunStatements& run) -> Result {
              return run.read_only ? read(model, run.statements)
                                   : write(model, run.term, {run.request_id, false, appends_in(run.statements)});
            },
            [&](const ResolveWrite& resolve_write) -> Result { return this->resolve_write(model, resolve_write); },
            [&](const BeginTransaction& begin) -> Result {
              StatementsResult result;
              result.already_recorded = find_record(model, begin.request_id) != nullptr;
              if (!model.is_primary() || model.raised_term() != begin.term) {
                return not_primary();
              }
              open.writes = WrittenRecord{begin.request_id, false, {}};
              open.term = begin.term;
              return result;
            },
            [&](const RunInTransaction& run) -> Result {
              const auto appends = appends_in(run.statements);
              if (open.writes.has_value()) {
                open.writes->appends.insert(open.writes->appends.end(), appends.begin(), appends.end());
              }
              return read(model, run.statements);
            },
            [&](const CommitTransaction&) -> Result {
              if (!open.writes.has_value()) {
                return not_primary();
              }
              return write(model, open.term, *std::exchange(open.writes, std::nullopt));
            },
            [&](const RollbackTransaction&) -> Result {
              open.writes.reset();
              return StatementsResult{};
            },
        },
        operation);
  }

  /// Returns the value of `key` from the log of a member, including records that are not replayed yet.
  std::string stored(const MemberModel& model, const std::string& key) const {
    std::vector<std::uint64_t> ids;
    for (const Record& record : model.log()) {
      ids.push_back(record.id);
    }
    return value_of(ids, key);
  }

 private:
  static tl::unexpected<UpstreamError> not_primary() {
    UpstreamError error;
    error.kind = UpstreamErrorKind::kNotPrimaryInTerm;
    error.may_have_run = false;
    return tl::unexpected(error);
  }

  static std::vector<std::pair<std::string, std::string>> appends_in(const std::vector<Statement>& statements) {
    std::vector<std::pair<std::string, std::string>> appends;
    for (const Statement& statement : statements) {
      if (statement.sql == "append") {
        appends.emplace_back(statement.parameters.at(0).value(), statement.parameters.at(1).value());
      }
    }
    return appends;
  }

  const WrittenRecord* find_record(const MemberModel& model, const RequestId& request) const {
    for (const Record& record : model.log()) {
      const auto written = m_records.find(record.id);
      if (written != m_records.end() && written->second.request == request) {
        return &written->second;
      }
    }
    return nullptr;
  }

  std::string value_of(const std::vector<std::uint64_t>& ids, const std::string& key) const {
    std::string value;
    for (const std::uint64_t id : ids) {
      const auto written = m_records.find(id);
      if (written == m_records.end()) {
        continue;
      }
      for (const auto& [written_key, appended] : written->second.appends) {
        value += written_key == key ? appended : "";
      }
    }
    return value;
  }

  tl::expected<UpstreamResult, UpstreamError> read(const MemberModel& model, const std::vector<Statement>& statements) {
    StatementsResult result;
    result.before = model.status();
    for (const Statement& statement : statements) {
      if (statement.sql == "read") {
        const std::string value = value_of(model.visible(), statement.parameters.at(0).value());
        result.results.push_back({{"value"}, {{value}}, 0});
      }
    }
    result.after = result.before;
    return result;
  }

  tl::expected<UpstreamResult, UpstreamError> write(MemberModel& model, Term term, const WrittenRecord& record) {
    StatementsResult result;
    result.before = model.status();
    if (!model.is_primary() || model.raised_term() != term) {
      return not_primary();
    }
    if (find_record(model, record.request) != nullptr) {
      result.already_recorded = true;
    } else {
      const std::uint64_t id = ++m_last_record;
      m_records.emplace(id, record);
      model.write(term, id);
      if (const auto hook = std::exchange(after_commit, nullptr)) {
        hook();
      }
    }
    result.after = model.status();
    return result;
  }

  tl::expected<UpstreamResult, UpstreamError> resolve_write(MemberModel& model, const ResolveWrite& request) {
    if (!model.is_primary() || model.raised_term() != request.term) {
      return not_primary();
    }
    ResolveWriteResult result;
    if (const WrittenRecord* record = find_record(model, request.request_id)) {
      result.ran = !record->is_void;
    } else {
      write(model, request.term, {request.request_id, true, {}});
    }
    result.after = model.status();
    return result;
  }

  // Content of the records of all members by record id; the logs contain the ids only.
  std::map<std::uint64_t, WrittenRecord> m_records;
  std::uint64_t m_last_record = 0;
};

}  // namespace teaselrudder::model
