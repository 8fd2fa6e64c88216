#pragma once

#include <cmath>

#include "core/time.h"

namespace teaselrudder {

/// Estimates the rate of events as an exponentially weighted average.
class RateEstimator {
 public:
  /// Time constant of the average. Long enough that a burst of as many events as one second brings raises the estimate
  /// by a quarter only.
  static constexpr Duration kTimeConstant = std::chrono::seconds(4);

  void add(double events, TimePoint now) {
    m_events = decayed(now) + events;
    m_updated_at = now;
  }

  /// Returns the events per second.
  double per_second(TimePoint now) const { return decayed(now) / std::chrono::duration<double>(kTimeConstant).count(); }

 private:
  double decayed(TimePoint now) const {
    if (now <= m_updated_at) {
      return m_events;
    }
    return m_events *
           std::exp(-std::chrono::duration<double>(now - m_updated_at) / std::chrono::duration<double>(kTimeConstant));
  }

  double m_events = 0;
  TimePoint m_updated_at;
};

}  // namespace teaselrudder
