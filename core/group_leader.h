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

/// A lease on reading at the primary of a group. No commit of a later term is acknowledged while it is valid.
struct PrimaryLease {
  GroupLeader leader;
  /// End of the lease on the clock of the host that keeps it.
  TimePoint until;
  /// Fencing token of the host that granted the lease.
  std::uint64_t token = 0;
};

}  // namespace teaselrudder
