#pragma once

#include "core/ids.h"
#include "core/log_point.h"
#include "core/term_history.h"

namespace teaselrudder {

/// What a member of a database group reports about itself, all fields of one instant.
struct MemberStatus {
  /// Highest term that the member granted; it rejects anything of a lower term.
  Term raised_term;
  /// The host that `raised_term` was granted to.
  HostId candidate;
  /// Term of the newest record in the log.
  Term log_term;
  /// End of the log that the member holds.
  LogPosition received;
  /// End of the log that is visible to reads.
  LogPosition replayed;
  /// True if the member accepts writes in `raised_term`.
  bool is_primary = false;
  TermHistory history;

  /// Tells whether reads on the member see everything up to `point`.
  bool satisfies(const LogPoint& point) const { return history.contains(point, {log_term, replayed}); }

  friend bool operator==(const MemberStatus&, const MemberStatus&) = default;
};

}  // namespace teaselrudder
