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

/// What a read demands of the member that serves it.
struct ReadRequirement {
  SessionPosition session;
  Freshness freshness = Freshness::kFresh;
  /// Greatest age of the data for kMaxAge.
  Duration max_age{0};
};

/// The member that a read goes to.
struct ReadChoice {
  MemberId member;
  /// True if the member is the primary. A kFresh read there must be confirmed.
  bool primary = false;

  friend bool operator==(const ReadChoice&, const ReadChoice&) = default;
};

/// What a read that has no member yet waits for.
enum class ReadObstacle { kNoPrimary, kReplicasBehind };

/// Chooses the member for a read. Acceptable replicas come first, by expected wait (zero if not listed); then the
/// primary. With `may_wait` a read for which a replica may still catch up waits (kReplicasBehind) instead of taking
/// the primary. Members that are leaving or in `excluded` get nothing.
tl::expected<ReadChoice, ReadObstacle> choose_reader(const DatabaseGroup& group, const ReadRequirement& requirement,
                                                     const std::map<MemberId, Duration>& expected_waits,
                                                     const std::set<MemberId>& excluded, bool may_wait, TimePoint now);

/// Tells whether a read that ran on a member with the status `before` just before it meets `requirement`. A kFresh
/// read is acceptable on a primary only, and must be confirmed besides. A kMaxAge read on the primary that is not
/// acceptable here is acceptable once it is confirmed like a fresh one.
bool read_is_acceptable(const DatabaseGroup& group, const ReadRequirement& requirement, const MemberStatus& before,
                        TimePoint now);

}  // namespace teaselrudder
