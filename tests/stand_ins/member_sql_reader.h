#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace teaselrudder::testing {

/// What the statements known to the test double of a member do. Their operands are the parameters in their order.
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
  // From here on, statements take a slot.
  kPut,
  kAppend,
  kDelete,
  kSelectValue,
  kSelectRow,
  kSelectAll,
  kSleep,
};

/// A known statement with the columns of its answer.
struct SqlForm {
  SqlKind kind = SqlKind::kBegin;
  std::vector<std::string> columns;
};

/// Finds a statement whatever its blanks and letter case; null if it is not known.
const SqlForm* find_sql(std::string_view sql);

}  // namespace teaselrudder::testing
