#pragma once

#include <map>
#include <set>

#include "core/ids.h"
#include "core/member_status.h"
#include "core/request.h"
#include "core/time.h"
#include "servers/group/database_group.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// What a read requires of the member that serves it.
struct ReadRequirement {
  SessionPosition session;
  Freshness freshness = Freshness::kFresh;
  /// Maximum age of the data; used with kMaxAge only.
  Duration max_age{0};
};

/// The member that a read is sent to.
struct ReadChoice {
  MemberId member;
  /// True if the member is the primary. A kFresh read there must be confirmed.
  bool primary = false;

  friend bool operator==(const ReadChoice&, const ReadChoice&) = default;
};

/// Why no member can serve a read at present.
enum class ReadObstacle { kNoPrimary, kReplicasBehind };

/// Chooses the member for a read: the replica with the shortest expected wait among those that meet `requirement`, else
/// the primary. A member that is missing in `expected_waits` has a wait of zero. With `may_wait`, kReplicasBehind is
/// returned instead of the primary if a replica may still catch up. Members that are leaving or in `excluded` are never
/// chosen. Returns kNoPrimary if only the primary could serve the read and none is available.
tl::expected<ReadChoice, ReadObstacle> choose_reader(const DatabaseGroup& group, const ReadRequirement& requirement,
                                                     const std::map<MemberId, Duration>& expected_waits,
                                                     const std::set<MemberId>& excluded, bool may_wait, TimePoint now);

/// Returns true if the result of a read meets `requirement`, where `before` is the status of the member just before the
/// read ran. A kFresh read is acceptable only on a primary and must be confirmed in addition. A kMaxAge read on the
/// primary for which this returns false is still acceptable if it is confirmed like a kFresh read.
bool read_is_acceptable(const DatabaseGroup& group, const ReadRequirement& requirement, const MemberStatus& before,
                        TimePoint now);

}  // namespace teaselrudder
