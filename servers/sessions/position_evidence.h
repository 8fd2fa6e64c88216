#pragma once

#include <deque>
#include <optional>

#include "core/log_point.h"
#include "core/time.h"

namespace teaselrudder {

/// Position of a primary's log, which holds every commit that was acknowledged before `requested_at`.
struct PositionSample {
  LogPoint position;
  TimePoint requested_at;
};

/// Positions that a group's primary returned, as evidence of what a read has to see.
///
/// A sample counts only if the member was the primary when it answered: the answer to a write, or to a statement of a
/// transaction that a replaced primary refuses.
class PositionEvidence {
 public:
  /// Least time between two samples that are kept.
  static constexpr Duration kSpacing = std::chrono::milliseconds(20);
  /// Age beyond which a sample serves no route.
  static constexpr Duration kMaxAge = std::chrono::seconds(10);

  /// Adds a sample, in any order of time. One of an older term than the newest is ignored; one of a newer term replaces
  /// all, because the new term's log may lack what the old primary had not acknowledged.
  void add(const LogPoint& position, TimePoint requested_at);

  /// Returns the lowest position that holds every commit acknowledged before `acknowledged_before`, or nothing if no
  /// sample is that recent.
  std::optional<LogPoint> position_for(TimePoint acknowledged_before) const;

  /// Returns the newest sample.
  std::optional<PositionSample> newest() const;

 private:
  /// Rising in time and in position: a sample that is neither later nor lower than another tells nothing more.
  std::deque<PositionSample> m_samples;
};

}  // namespace teaselrudder
