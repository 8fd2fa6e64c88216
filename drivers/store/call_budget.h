#pragma once

#include <algorithm>

#include "core/time.h"

namespace teaselrudder {

/// Limits the rate of this host's calls to the platform's store with a token bucket.
///
/// The store sustains several hundred writes/s and about two thousand reads/s from all hosts together, so each host
/// gets only a small share.
class CallBudget {
 public:
  /// `rate` is in calls per second. `burst` is the maximum number of calls that may be made without any delay.
  CallBudget(double rate, double burst, TimePoint now)
      : m_rate(rate), m_burst(burst), m_tokens(burst), m_last_refill(now) {}

  /// Takes one call from the budget. Returns false and takes nothing if the budget is used up.
  bool try_take(TimePoint now) {
    refill(now);
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

 private:
  void refill(TimePoint now) {
    if (now <= m_last_refill) {
      return;
    }
    const std::chrono::duration<double> elapsed = now - m_last_refill;
    m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_rate);
    m_last_refill = now;
  }

  double m_rate;
  double m_burst;
  double m_tokens;
  TimePoint m_last_refill;
};

}  // namespace teaselrudder
