#include "core/session_protocol.h"

namespace teaselrudder {

std::string_view to_string(StatementErrorCode code) {
  switch (code) {
    case StatementErrorCode::kBusy:
      return "busy";
    case StatementErrorCode::kLagging:
      return "lagging";
    case StatementErrorCode::kReadOnly:
      return "read_only";
    case StatementErrorCode::kWrongMember:
      return "wrong_member";
    case StatementErrorCode::kTooManyConnections:
      return "too_many_connections";
    case StatementErrorCode::kNotPrepared:
      return "not_prepared";
    case StatementErrorCode::kFailed:
      return "failed";
    case StatementErrorCode::kTimeout:
      return "timeout";
    case StatementErrorCode::kAborted:
      return "aborted";
    case StatementErrorCode::kInDoubt:
      return "in_doubt";
    case StatementErrorCode::kUnknownDatabase:
      return "unknown_database";
    case StatementErrorCode::kUnauthenticated:
      return "unauthenticated";
    case StatementErrorCode::kMalformed:
      return "malformed";
    case StatementErrorCode::kTooLarge:
      return "too_large";
    case StatementErrorCode::kUnrecognized:
      return "unrecognized";
  }
  return "unrecognized";
}

bool is_not_run(StatementErrorCode code) {
  switch (code) {
    case StatementErrorCode::kBusy:
    case StatementErrorCode::kLagging:
    case StatementErrorCode::kReadOnly:
    case StatementErrorCode::kWrongMember:
    case StatementErrorCode::kTooManyConnections:
    case StatementErrorCode::kNotPrepared:
      return true;
    default:
      return false;
  }
}

}  // namespace teaselrudder
