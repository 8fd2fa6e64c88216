#pragma once

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "core/log_point.h"
#include "core/routing_table.h"
#include "servers/sessions/upstream_group.h"

namespace teaselrudder {

/// Age of a leaving notice from which a leaving primary gets no more work, whether it has been replaced or not. The
/// platform requires that no request reaches a member later than 7 s after its notice.
inline constexpr Duration kLeavingPrimaryUse = std::chrono::seconds(5);

/// What a read may run on.
struct ReadNeeds {
  /// The position that the log of a replica must hold; nothing if only the primary will do.
  std::optional<LogPoint> required;
  /// Members that failed an earlier attempt; used only if no other is left.
  const std::set<MemberId>& avoided;
  /// Domain of this host, whose members answer sooner.
  const FailureDomainId& own_domain;
};

/// Returns the position that a read of `route` needs which began at `began`, or nothing if this host has no evidence of
/// it. `own_commit` is the session's last commit.
std::optional<LogPoint> required_position(const UpstreamGroup& group, const Route& route,
                                          const std::optional<LogPoint>& own_commit, TimePoint began);

/// Returns the primary if it is known and takes work.
std::optional<MemberId> usable_primary(const UpstreamGroup& group, TimePoint now);

/// Returns the members that may run the read, the best first. `active` tells how many connections of this host to a
/// member are in use.
std::vector<MemberId> rank_read_candidates(const UpstreamGroup& group, const ReadNeeds& needs,
                                           const std::function<std::size_t(const UpstreamMember&)>& active,
                                           TimePoint now);

}  // namespace teaselrudder
