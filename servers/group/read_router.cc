#include "servers/group/read_router.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace teaselrudder {

namespace {

// A primary has every write that was confirmed in an earlier term, even if that term is missing in its history.
bool primary_contains(const MemberStatus& status, const LogPoint& point) {
  if (status.raised_term != point.term) {
    return status.raised_term > point.term;
  }
  return status.replayed >= point.position;
}

bool is_recent_enough(const DatabaseGroup& group, Duration max_age, const MemberStatus& status, TimePoint now) {
  const auto& samples = group.samples();
  return std::any_of(samples.rbegin(), samples.rend(), [&](const FreshnessSample& sample) {
    return now - sample.requested_at <= max_age && status.satisfies(sample.point);
  });
}

bool needs_primary(const ReadRequirement& requirement) {
  return requirement.freshness == Freshness::kFresh || requirement.session.uncertain;
}

std::optional<ReadChoice> choose_replica(const DatabaseGroup& group, const ReadRequirement& requirement,
                                         const std::map<MemberId, Duration>& expected_waits,
                                         const std::vector<MemberId>& replicas, TimePoint now) {
  std::optional<ReadChoice> best;
  Duration best_wait{0};
  for (const MemberId& replica : replicas) {
    if (!read_is_acceptable(group, requirement, group.find_member(replica)->status, now)) {
      continue;
    }
    const auto listed = expected_waits.find(replica);
    const Duration wait = listed == expected_waits.end() ? Duration(0) : listed->second;
    if (!best.has_value() || wait < best_wait) {
      best = ReadChoice{replica, false};
      best_wait = wait;
    }
  }
  return best;
}

}  // namespace

tl::expected<ReadChoice, ReadObstacle> choose_reader(const DatabaseGroup& group, const ReadRequirement& requirement,
                                                     const std::map<MemberId, Duration>& expected_waits,
                                                     const std::set<MemberId>& excluded, bool may_wait, TimePoint now) {
  const std::optional<PrimaryView> primary = group.primary();
  std::vector<MemberId> replicas;
  bool primary_is_usable = false;
  for (const MemberConfiguration& member : group.configuration().members) {
    if (member.leaving || excluded.contains(member.id)) {
      continue;
    }
    if (primary.has_value() && primary->member == member.id) {
      primary_is_usable = true;
    } else if (group.is_responsive(member.id, now)) {
      replicas.push_back(member.id);
    }
  }

  if (!needs_primary(requirement)) {
    const std::optional<ReadChoice> replica = choose_replica(group, requirement, expected_waits, replicas, now);
    if (replica.has_value()) {
      return *replica;
    }
    if (may_wait && !replicas.empty()) {
      return tl::unexpected(ReadObstacle::kReplicasBehind);
    }
  }
  if (primary_is_usable) {
    return ReadChoice{primary->member, true};
  }
  return tl::unexpected(ReadObstacle::kNoPrimary);
}

bool read_is_acceptable(const DatabaseGroup& group, const ReadRequirement& requirement, const MemberStatus& before,
                        TimePoint now) {
  if (needs_primary(requirement) && !before.is_primary) {
    return false;
  }
  const LogPoint& point = requirement.session.point;
  const bool satisfies_session = before.is_primary ? primary_contains(before, point) : before.satisfies(point);
  if (requirement.freshness != Freshness::kMaxAge) {
    return satisfies_session;
  }
  return satisfies_session && is_recent_enough(group, requirement.max_age, before, now);
}

}  // namespace teaselrudder
