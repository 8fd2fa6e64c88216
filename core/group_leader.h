#pragma once

#include <cstdint>

#include "core/ids.h"
#include "core/log_point.h"
#include "core/time.h"

namespace teaselrudder {

/// A member that leads a group as its primary, and the term in which it does.
struct GroupLeader {
  MemberId member;
  Term term;

  friend bool operator==(const GroupLeader&, const GroupLeader&) = default;
};

/// A lease on reading at the primary of a group and on passing on its acknowledgements. No commit of a later term is
/// acknowledged while it is valid.
struct PrimaryLease {
  /// Time to live of a lease: three reports between hosts, so that two may be lost.
  static constexpr Duration kTimeToLive = std::chrono::milliseconds(900);
  /// Part of its time to live, from the end, in which a lease allows reads but no acknowledgements of commits. They end
  /// earlier because a promotion waits for their end and not for that of reads; an acknowledgement that comes without a
  /// lease only waits for the next one.
  static constexpr Duration kCommitMargin = std::chrono::milliseconds(450);

  GroupLeader leader;
  /// End of the lease on the clock of the host that keeps it.
  TimePoint until;
  /// Fencing token of the host that granted the lease.
  std::uint64_t token = 0;
};

}  // namespace teaselrudder
