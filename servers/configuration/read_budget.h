#pragma once

#include <algorithm>

#include "core/time.h"

namespace teaselrudder {

/// Bounds the reads that one host sends to the platform's store, whose rate the whole fleet shares.
class ReadBudget {
 public:
  /// Reads that can be saved up. A new budget is full.
  static constexpr std::int64_t kBurst = 10;
  /// Time in which one read is earned.
  static constexpr Duration kInterval = std::chrono::milliseconds(500);

  /// Takes one read from the budget. Returns false and takes nothing if the budget is spent.
  bool try_spend(TimePoint now) {
    const std::int64_t earned = (now - m_counted_until) / kInterval;
    if (m_saved + earned >= kBurst) {
      m_saved = kBurst;
      m_counted_until = now;
    } else {
      m_saved += earned;
      m_counted_until += earned * kInterval;
    }
    if (m_saved == 0) {
      return false;
    }
    --m_saved;
    return true;
  }

 private:
  std::int64_t m_saved = kBurst;
  TimePoint m_counted_until;
};

}  // namespace teaselrudder
