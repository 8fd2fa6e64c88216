#pragma once

#include <optional>

#include "core/ports/caller_session_port.h"
#include "core/routing_table.h"

namespace teaselrudder {

/// Result of the check of a session's database and key against a routing table.
struct SessionAccess {
  /// Route of the database; null if access is denied.
  const Route* route = nullptr;
  /// Account that holds the key. Empty if the configuration defines no accounts, or if nobody holds the key and the
  /// route is public.
  AccountId account;
  /// Why access is denied: kUnknownDatabase or kUnauthenticated.
  std::optional<StatementErrorCode> error;
};

/// Checks whether `table` lets the caller use the database. The check is repeated for each operation, because keys can
/// be withdrawn while the session is open.
SessionAccess check_access(const RoutingTable& table, const SessionRequest& request);

}  // namespace teaselrudder
