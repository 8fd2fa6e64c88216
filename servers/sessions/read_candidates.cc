#include "servers/sessions/read_candidates.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

namespace {

/// Added for a member in another failure domain: the network round trip plus the load on the links between domains.
constexpr Duration kRemoteCost = std::chrono::milliseconds(6);
/// Added for the primary, because a read there takes one of the slots that writes need.
constexpr Duration kPrimaryCost = std::chrono::milliseconds(30);
/// Time after which a replica may have caught up, so that its last reported position no longer excludes it.
constexpr Duration kAppliedPositionMaxAge = std::chrono::milliseconds(100);
/// Added for a member that failed recently or failed an earlier attempt of the same read.
constexpr Duration kRecentFailureCost = std::chrono::milliseconds(300);
/// Added for a member that is still warming up after its start.
constexpr Duration kWarmUpCost = std::chrono::milliseconds(20);

Duration cost_of(const UpstreamMember& member, bool is_primary, const ReadNeeds& needs, std::size_t active,
                 TimePoint now) {
  Duration cost = member.read_latency * static_cast<std::int64_t>(1 + active);
  cost += member.entry.failure_domain == needs.own_domain ? Duration(0) : kRemoteCost;
  cost += is_primary ? kPrimaryCost : Duration(0);
  cost += now < member.avoid_until ? kRecentFailureCost : Duration(0);
  cost += member.entry.warm_up > Duration(0) ? kWarmUpCost : Duration(0);
  return cost;
}

bool was_recently_behind(const UpstreamMember& member, const LogPoint& required, TimePoint now) {
  return required > member.applied && now < member.applied_at + kAppliedPositionMaxAge;
}

}  // namespace

std::optional<LogPoint> required_position(const UpstreamGroup& group, const Route& route,
                                          const std::optional<LogPoint>& own_commit, TimePoint began) {
  if (route.freshness == ReadFreshness::kPrimary) {
    return std::nullopt;
  }
  const std::optional<LogPoint> bound = group.evidence().position_for(oldest_allowed(route, began));
  if (!bound.has_value() || route.freshness == ReadFreshness::kBounded || !own_commit.has_value()) {
    return bound;
  }
  return std::max(*bound, *own_commit);
}

TimePoint oldest_allowed(const Route& route, TimePoint began) {
  return route.freshness == ReadFreshness::kPrimary ? began : began - route.max_staleness;
}

std::optional<LogPoint> guard_position(const UpstreamGroup& group, const std::optional<LogPoint>& required) {
  const std::optional<PositionSample> newest = group.evidence().newest();
  if (newest.has_value() && newest->position.term == group.term()) {
    return newest->position;
  }
  return required.has_value() && required->term == group.term() ? required : std::nullopt;
}

std::optional<MemberId> usable_primary(const UpstreamGroup& group, TimePoint now) {
  if (!group.primary().has_value() || group.term() == Term(0)) {
    return std::nullopt;
  }
  const UpstreamMember* const primary = group.find(*group.primary());
  if (primary == nullptr) {
    return std::nullopt;
  }
  if (primary->leaving_since.has_value() && *primary->leaving_since + kMaxUseOfLeavingPrimary <= now) {
    return std::nullopt;
  }
  return group.primary();
}

std::vector<MemberId> rank_read_candidates(const UpstreamGroup& group, const ReadNeeds& needs,
                                           const std::function<std::size_t(const UpstreamMember&)>& active,
                                           TimePoint now) {
  // A log position of the primary's own term holds there as well as on a replica.
  const bool primary_has_position = needs.required.has_value() && needs.required->term == group.term();
  const std::optional<MemberId> primary =
      needs.primary_is_current || primary_has_position ? usable_primary(group, now) : std::nullopt;
  std::vector<std::pair<Duration, MemberId>> ranked;
  for (const auto& [id, member] : group.members()) {
    const bool is_primary = primary == id;
    const bool is_replica = needs.required.has_value() && group.primary() != id && !member.leaving_since.has_value() &&
                            !was_recently_behind(member, *needs.required, now);
    if (!is_primary && !is_replica) {
      continue;
    }
    Duration cost = cost_of(member, is_primary, needs, active(member), now);
    cost += needs.avoided.contains(id) ? kRecentFailureCost : Duration(0);
    ranked.emplace_back(cost, id);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<MemberId> candidates;
  candidates.reserve(ranked.size());
  for (auto& [cost, id] : ranked) {
    candidates.push_back(std::move(id));
  }
  return candidates;
}

}  // namespace teaselrudder
