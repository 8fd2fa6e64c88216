#pragma once

#include <optional>
#include <variant>

#include "servers/host/execution.h"
#include "servers/host/group_directory.h"

namespace teaselrudder {

/// Hosts that a request may cross after the one that its caller reached.
inline constexpr std::uint32_t kMaxForwardHops = 2;

/// Run the request on `member` from this host.
struct RouteLocal {
  MemberId member;
  /// The term in which the member is the primary; zero for a replica.
  Term term;
};

/// Send the request to another host.
struct RouteForward {
  HostId host;
  std::optional<MemberId> target;
  Term term;
};

/// Wait for a change of the group, and refuse with `reason` if none comes before `until`.
struct RouteWait {
  RefusalReason reason = RefusalReason::kNoPrimary;
  TimePoint until;
};

/// Refuse now.
struct RouteRefuse {
  RefusalReason reason = RefusalReason::kUnknownService;
};

/// Where a request goes next.
using RouteDecision = std::variant<RouteLocal, RouteForward, RouteWait, RouteRefuse>;

/// Tells whether the request must run at the primary and be confirmed by a majority.
bool needs_confirmed_primary(const RequestEnvelope& envelope);

/// Decides where requests go, from what this host knows of the hosts and the groups.
class RequestRouter {
 public:
  RequestRouter(const HostContext& context, GroupDirectory& groups);

  /// Decides the next step of a request that is not a step of an open transaction.
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
