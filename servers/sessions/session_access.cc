#include "servers/sessions/session_access.h"

namespace teaselrudder {

SessionAccess check_access(const RoutingTable& table, const SessionRequest& request) {
  const auto route = table.routes.find(request.database);
  if (route == table.routes.end()) {
    return {nullptr, {}, StatementErrorCode::kUnknownDatabase};
  }
  const auto holder = table.accounts_by_key.find(request.key);
  if (holder != table.accounts_by_key.end()) {
    return {&route->second, holder->second, std::nullopt};
  }
  if (table.has_accounts && !route->second.is_public) {
    return {nullptr, {}, StatementErrorCode::kUnauthenticated};
  }
  return {&route->second, {}, std::nullopt};
}

}  // namespace teaselrudder
