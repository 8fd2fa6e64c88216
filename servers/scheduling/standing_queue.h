#pragma once

#include "core/time.h"

namespace teaselrudder {

/// Tells a standing queue from a burst.
///
/// A burst leaves the queue empty again soon. A queue that hardly ever becomes empty only adds waiting time to all that
/// is admitted, without serving more; it should be kept short until demand falls below capacity.
class StandingQueue {
 public:
  /// Time constant of the moving share of time in which the queue is empty. A queue counts as standing after about
  /// three of them, so that bursts of a second are absorbed.
  static constexpr Duration kTimeConstant = std::chrono::milliseconds(500);

  /// Records whether the queue is empty from `now` on.
  void observe(bool empty, TimePoint now);

  /// Tells whether the queue stands.
  bool is_standing() const { return m_standing; }

 private:
  TimePoint m_last;
  bool m_empty = true;
  double m_empty_share = 1;
  bool m_standing = false;
};

}  // namespace teaselrudder
