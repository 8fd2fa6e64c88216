#pragma once

#include "core/ids.h"
#include "core/log_point.h"
#include "core/term_history.h"

namespace teaselrudder {

/// Status report of a member of a database group. All fields were read at the same instant.
struct MemberStatus {
  /// Highest term that the member has granted; it rejects operations of lower terms.
  Term raised_term;
  /// Host to which the member granted `raised_term`.
  HostId candidate;
  /// Term of the newest record in the log.
  Term log_term;
  /// End of the log that the member has received.
  LogPosition received;
  /// End of the log that the member has replayed, that is, made visible to reads.
  LogPosition replayed;
  /// True if the member accepts writes in `raised_term`.
  bool is_primary = false;
  TermHistory history;

  /// Returns whether reads on the member see everything up to `point`.
  bool satisfies(const LogPoint& point) const { return history.contains(point, {log_term, replayed}); }

  friend bool operator==(const MemberStatus&, const MemberStatus&) = default;
};

}  // namespace teaselrudder
