#pragma once

#include <cstdint>
#include <string>

#include "core/strong_type.h"

namespace teaselrudder {

/// Name of a host of this system, unique in the fleet.
using HostId = StrongType<struct HostIdTag, std::string>;
/// Name of a failure domain.
using FailureDomainId = StrongType<struct FailureDomainIdTag, std::string>;
/// Name of a database group.
using GroupId = StrongType<struct GroupIdTag, std::string>;
/// Name of a member (an upstream), unique in its group.
using MemberId = StrongType<struct MemberIdTag, std::string>;
/// Name of a client account.
using AccountId = StrongType<struct AccountIdTag, std::string>;
/// Name of a service that callers address.
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
/// Identifies one request of a caller across hosts and retries.
using RequestId = StrongType<struct RequestIdTag, std::string>;
/// Handle of an open transaction, as given to callers.
using TransactionHandle = StrongType<struct TransactionHandleTag, std::string>;

/// Identifies a connection from this host to an upstream. Never reused within a process.
using ConnectionId = StrongType<struct ConnectionIdTag, std::uint64_t>;
/// Identifies an operation on an upstream connection.
using OperationId = StrongType<struct OperationIdTag, std::uint64_t>;
/// Identifies a caller's request that this host has not answered yet.
using CallerRequestId = StrongType<struct CallerRequestIdTag, std::uint64_t>;
/// Identifies a call to or from another host.
using PeerCallId = StrongType<struct PeerCallIdTag, std::uint64_t>;
/// Identifies a call to the platform's store.
using StoreCallId = StrongType<struct StoreCallIdTag, std::uint64_t>;
/// Identifies a watch on the platform's store.
using WatchId = StrongType<struct WatchIdTag, std::uint64_t>;

/// Version of the configuration; incremented by one with each accepted change.
using ConfigurationVersion = StrongType<struct ConfigurationVersionTag, std::uint64_t>;
/// Distinguishes the runs of a host process; a restart gets a higher value.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/// Revision of the platform's store.
using StoreRevision = StrongType<struct StoreRevisionTag, std::int64_t>;

/// Number of the history that the platform's store serves; zero if it is not known. It rises each time the store is
/// restored from an older copy. Revisions and leases of one era mean nothing in another.
using StoreEra = StrongType<struct StoreEraTag, std::uint64_t>;

/// A numeric IP address and a port.
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

}  // namespace teaselrudder
