#pragma once

#include <optional>
#include <variant>

#include "servers/host/execution.h"
#include "servers/host/group_directory.h"

namespace teaselrudder {

/// Maximum number of times that a request is forwarded from one host to another.
inline constexpr std::uint32_t kMaxForwardHops = 2;

/// Run the request on `member` from this host.
struct RouteLocal {
  MemberId member;
  /// The term in which the member is the primary; zero for a replica.
  Term term;
};

/// Forward the request to another host.
struct RouteForward {
  HostId host;
  /// The member that the other host shall run the request on; it chooses the member itself if this is empty.
  std::optional<MemberId> target;
  /// The term in which `target` is the primary; zero for a replica.
  Term term;
};

/// Wait and route the request again, and refuse it with `reason` if that is not successful before `until`.
struct RouteWait {
  RefusalReason reason = RefusalReason::kNoPrimary;
  TimePoint until;
};

/// Refuse the request at once.
struct RouteRefuse {
  RefusalReason reason = RefusalReason::kUnknownService;
};

/// The next step for a request.
using RouteDecision = std::variant<RouteLocal, RouteForward, RouteWait, RouteRefuse>;

/// Returns whether the request must run on a primary whose leadership a majority confirms afterwards. That holds for
/// writes, transactions, fresh reads, and sessions with a write of unknown outcome.
bool needs_confirmed_primary(const RequestEnvelope& envelope);

/// Decides where a request is executed, based on what this host knows about the other hosts and the groups.
class RequestRouter {
 public:
  RequestRouter(const HostContext& context, GroupDirectory& groups);

  /// Returns the next step for a request. Must not be called for steps of open transactions, which go to the host that
  /// holds the transaction.
  RouteDecision route(const Execution& execution, TimePoint now);

 private:
  RouteDecision route_to_primary(const Execution& execution, GroupRuntime& runtime, TimePoint now);
  RouteDecision route_read(const Execution& execution, GroupRuntime& runtime, TimePoint now);
  RouteDecision route_to_member(const Execution& execution, const MemberConfiguration& member, Term term);
  bool may_forward_to(const Execution& execution, const std::optional<HostId>& host) const;

  const HostContext& m_context;
  GroupDirectory& m_groups;
};

}  // namespace teaselrudder
