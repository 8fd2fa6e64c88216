#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/client_account.h"
#include "core/ids.h"
#include "core/time.h"

namespace teaselrudder {

/// Name under which callers address a database.
using DatabaseName = StrongType<struct DatabaseNameTag, std::string>;

/// Which commits the reads of a route must see.
enum class ReadFreshness {
  kPrimary,    // All commits acknowledged before the read.
  kBounded,    // All commits acknowledged before the read by more than the staleness bound.
  kOwnWrites,  // Like kBounded, plus all commits of the same session.
};

/// Routing of the statements for one database.
struct Route {
  DatabaseName database;
  GroupId group;
  ReadFreshness freshness = ReadFreshness::kPrimary;
  /// Staleness bound for kBounded and kOwnWrites.
  Duration max_staleness{0};
  /// Time limit of one statement.
  Duration statement_timeout{0};
  /// Latency objective (SLO) for a whole operation.
  Duration objective{0};
  /// Zero is the highest priority.
  std::uint32_t priority = 0;
  /// True if callers need no account to use the route.
  bool is_public = false;
};

/// A database group as the operator configures it.
struct ReplicatedGroup {
  GroupId group;
  /// Number of connections that each member accepts from all hosts together.
  std::size_t max_connections = 0;
  /// True if a commit is acknowledged only after a replica has received it.
  bool synchronous = false;
};

/// A version of the operator's configuration.
struct RoutingTable {
  ConfigurationVersion version;
  std::map<DatabaseName, Route> routes;
  std::map<GroupId, ReplicatedGroup> groups;
  /// Longest time that a transaction may be idle between statements.
  Duration transaction_idle{0};
  /// True if the configuration defines client accounts. Callers then need an account for routes that are not public.
  bool has_accounts = false;
  std::map<AccountId, ClientAccount> accounts;
  std::map<AccessKey, AccountId> accounts_by_key;
};

/// A member's entry in the platform's store, written by the member.
struct MemberEntry {
  MemberId member;
  GroupId group;
  Endpoint endpoint;
  FailureDomainId failure_domain;
  /// Number of statements that the member runs concurrently.
  std::size_t slots = 0;
  bool leaving = false;
  /// Nullopt if the entry does not state the role.
  std::optional<bool> is_primary;
  /// Remaining time for which the member is slow after its start.
  Duration warm_up{0};
  /// Start time of the member in Unix milliseconds; a different value means that the member was restarted with the
  /// same id.
  std::int64_t started_at_ms = 0;
};

}  // namespace teaselrudder
