#pragma once

#include <deque>
#include <optional>

#include "core/log_point.h"
#include "core/time.h"

namespace teaselrudder {

/// Log position of a primary. The log up to it contains every commit acknowledged before `requested_at`.
struct PositionSample {
  LogPoint position;
  TimePoint requested_at;
};

/// Samples of the log position of a group's primary. They tell which log position a replica must have applied to serve
/// a read with a bound on staleness.
///
/// A sample is valid only if the member was the primary when it answered. Two kinds of answers prove that: the answer
/// to a write, and the answer to a statement in a transaction of a kind that a replaced primary refuses.
class PositionEvidence {
 public:
  /// Minimum time between two stored samples.
  static constexpr Duration kMinSampleInterval = std::chrono::milliseconds(20);
  /// Samples that are older than the newest one by more than this are discarded.
  static constexpr Duration kMaxAge = std::chrono::seconds(10);

  /// Adds a sample; samples may arrive out of order. A sample of an older term than the newest is ignored. A sample of
  /// a newer term replaces all others, because the log of the new term may lack commits that the old primary had not
  /// acknowledged.
  void add(const LogPoint& position, TimePoint requested_at);

  /// Returns the lowest known position that includes every commit acknowledged before `acknowledged_before`. Returns
  /// nothing if no sample was requested at or after that time.
  std::optional<LogPoint> position_for(TimePoint acknowledged_before) const;

  /// Returns the newest sample, or nothing if there is none.
  std::optional<PositionSample> newest() const;

 private:
  /// Ordered by ascending time and position. A sample is dropped if another one was requested later and has the same or
  /// a lower position.
  std::deque<PositionSample> m_samples;
};

}  // namespace teaselrudder
