#include "servers/host/request_router.h"

#include <algorithm>

#include "servers/group/read_router.h"

namespace teaselrudder {

namespace {

// Time for which a request waits if its session token names a term that this host does not know: the term may be that
// of a recent promotion of which this host has not learned yet.
constexpr Duration kFutureTermWait = std::chrono::seconds(1);

ReadRequirement requirement_of(const RequestEnvelope& envelope) {
  return {envelope.session, envelope.freshness, envelope.max_age};
}

}  // namespace

bool needs_confirmed_primary(const RequestEnvelope& envelope) {
  return !envelope.read_only || envelope.step != TransactionStep::kNone || envelope.freshness == Freshness::kFresh ||
         envelope.session.uncertain;
}

RequestRouter::RequestRouter(const HostContext& context, GroupDirectory& groups)
    : m_context(context), m_groups(groups) {}

RouteDecision RequestRouter::route(const Execution& execution, TimePoint now) {
  const RequestEnvelope& envelope = execution.envelope;
  const std::optional<HostId> owner = m_groups.owner_of(envelope.group, m_context.settings.self.failure_domain);
  if (!envelope.target.has_value() && may_forward_to(execution, owner)) {
    return RouteForward{*owner, std::nullopt, Term()};
  }
  GroupRuntime* runtime = m_groups.open(envelope.group, now);
  if (runtime == nullptr) {
    return RouteRefuse{RefusalReason::kUnknownService};
  }
  if (envelope.session.point.term > runtime->group().highest_known_term()) {
    return RouteWait{RefusalReason::kTokenFutureTerm,
                     std::min(execution.arrived + kFutureTermWait, execution.deadline)};
  }
  if (needs_confirmed_primary(envelope)) {
    return route_to_primary(execution, *runtime, now);
  }
  return route_read(execution, *runtime, now);
}

RouteDecision RequestRouter::route_to_primary(const Execution& execution, GroupRuntime& runtime, TimePoint now) {
  const std::optional<PrimaryView> primary = runtime.group().primary();
  const MemberConfiguration* member =
      primary.has_value() ? runtime.configuration().find_member(primary->member) : nullptr;
  if (member == nullptr || member->leaving) {
    const bool majority = runtime.group().majority_reachable(now);
    return RouteWait{majority ? RefusalReason::kNoPrimary : RefusalReason::kNoMajority, execution.deadline};
  }
  return route_to_member(execution, *member, primary->term);
}

RouteDecision RequestRouter::route_read(const Execution& execution, GroupRuntime& runtime, TimePoint now) {
  const RequestEnvelope& envelope = execution.envelope;
  const TimePoint wait_until = std::min(execution.arrived + m_context.settings.replica_wait, execution.deadline);
  // The host that forwarded the request has chosen the member. Whether the member's data is recent enough is checked
  // with the status that it returns with the result.
  if (envelope.target.has_value() && !execution.excluded_members.contains(*envelope.target)) {
    const MemberConfiguration* target = runtime.configuration().find_member(*envelope.target);
    if (target != nullptr && !target->leaving) {
      return RouteLocal{target->id, Term()};
    }
  }
  const auto choice =
      choose_reader(runtime.group(), requirement_of(envelope), runtime.expected_waits(envelope.urgency, now),
                    execution.excluded_members, now < wait_until, now);
  if (!choice.has_value()) {
    const bool behind = choice.error() == ReadObstacle::kReplicasBehind;
    return RouteWait{behind ? RefusalReason::kNoFreshReplica : RefusalReason::kNoPrimary, execution.deadline};
  }
  const MemberConfiguration* member = runtime.configuration().find_member(choice->member);
  if (member == nullptr) {
    return RouteWait{RefusalReason::kNoFreshReplica, execution.deadline};
  }
  return route_to_member(execution, *member, Term());
}

RouteDecision RequestRouter::route_to_member(const Execution& execution, const MemberConfiguration& member, Term term) {
  if (member.failure_domain == m_context.settings.self.failure_domain) {
    return RouteLocal{member.id, term};
  }
  const std::optional<HostId> owner = m_groups.owner_of(execution.envelope.group, member.failure_domain);
  if (may_forward_to(execution, owner)) {
    return RouteForward{*owner, member.id, term};
  }
  return RouteLocal{member.id, term};
}

bool RequestRouter::may_forward_to(const Execution& execution, const std::optional<HostId>& host) const {
  return host.has_value() && *host != m_context.settings.self.host && execution.envelope.hops < kMaxForwardHops &&
         !execution.excluded_hosts.contains(*host);
}

}  // namespace teaselrudder
