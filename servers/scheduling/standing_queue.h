#pragma once

#include "core/time.h"

namespace teaselrudder {

/// Detects a standing queue: one that is hardly ever empty, because demand exceeds capacity.
///
/// After a burst the queue soon becomes empty again. A standing queue only adds waiting time to every admitted item
/// without serving more of them, so it should be kept short until demand falls below capacity.
class StandingQueue {
 public:
  /// Time constant of the moving average of the share of time in which the queue is empty. A queue that is never empty
  /// counts as standing after about three time constants, so that bursts of one second are absorbed.
  static constexpr Duration kTimeConstant = std::chrono::milliseconds(500);

  /// Records whether the queue is empty from `now` on. Must be called whenever that may have changed.
  void observe(bool empty, TimePoint now);

  /// Returns true if the queue was standing at the last call of observe().
  bool is_standing() const { return m_standing; }

 private:
  TimePoint m_last;
  bool m_empty = true;
  double m_empty_share = 1;
  bool m_standing = false;
};

}  // namespace teaselrudder
