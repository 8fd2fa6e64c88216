#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace teaselrudder::testing {

/// Kinds of statements that the test double of a member supports. The parameters of a statement are its operands.
enum class SqlKind {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kMemberStatus,
  kRaiseTerm,
  kPromote,
  kFollow,
  kRequireTerm,
  kRecordRequest,
  kRecordRequestOrFail,
  kVoidRequest,
  // The statements from here on need a slot to run.
  kPut,
  kAppend,
  kDelete,
  kSelectValue,
  kSelectRow,
  kSelectAll,
  kSleep,
};

/// A supported statement with the columns of its result.
struct SqlStatement {
  SqlKind kind = SqlKind::kBegin;
  std::vector<std::string> columns;
};

/// Returns the statement with this text, ignoring white space and letter case, or null if it is not supported.
const SqlStatement* find_statement(std::string_view sql);

}  // namespace teaselrudder::testing
