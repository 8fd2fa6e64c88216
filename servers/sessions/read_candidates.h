#pragma once

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "core/log_point.h"
#include "core/routing_table.h"
#include "servers/sessions/upstream_group.h"

namespace teaselrudder {

/// Time after which a primary that announced its departure gets no more statements, even if it has not been replaced.
/// The platform requires that no request reaches a member later than 7 s after its announcement.
inline constexpr Duration kMaxUseOfLeavingPrimary = std::chrono::seconds(5);

/// Conditions that decide which members may run a read, and which of them is preferred.
struct ReadNeeds {
  /// Log position that a replica must have applied; nothing if only the primary may run the read.
  std::optional<LogPoint> required;
  /// The log of the primary is known to be recent enough for the read.
  bool primary_is_current = false;
  /// Members that failed earlier attempts of this read. They are ranked lower, not excluded.
  const std::set<MemberId>& avoided;
  /// Failure domain of this host. Its members have a lower network latency.
  const FailureDomainId& own_domain;
};

/// Returns the log position that a replica must have applied to serve a read that began at `began` on `route`. Returns
/// nothing if the route requires the primary, or if no known position of the primary is recent enough. `own_commit` is
/// the position of the session's last commit.
std::optional<LogPoint> required_position(const UpstreamGroup& group, const Route& route,
                                          const std::optional<LogPoint>& own_commit, TimePoint began);

/// Returns the oldest time as of which a read that began at `began` on `route` may see the data: it must see every
/// commit acknowledged before.
TimePoint oldest_allowed(const Route& route, TimePoint began);

/// Returns the log position that the primary must have reached when a statement arrives there. It only guards against a
/// member that lost its log and started again: the primary reached this position before. Returns nothing if no position
/// of its term is known. `required` is the position that a replica would need.
std::optional<LogPoint> guard_position(const UpstreamGroup& group, const std::optional<LogPoint>& required);

/// Returns the primary, or nothing if it is unknown, not yet announced, or has been leaving for longer than
/// kMaxUseOfLeavingPrimary.
std::optional<MemberId> usable_primary(const UpstreamGroup& group, TimePoint now);

/// Returns the members that may run the read, ordered by ascending expected cost. `active` returns the number of this
/// host's connections to a member that are in use.
std::vector<MemberId> rank_read_candidates(const UpstreamGroup& group, const ReadNeeds& needs,
                                           const std::function<std::size_t(const UpstreamMember&)>& active,
                                           TimePoint now);

}  // namespace teaselrudder
