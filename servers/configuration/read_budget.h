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
  static constexpr Duration kRefillInterval = std::chrono::milliseconds(500);

  /// Takes one read from the budget. Returns false and takes nothing if the budget is spent.
  bool try_take(TimePoint now) {
    const std::int64_t refill = (now - m_refilled_until) / kRefillInterval;
    if (m_tokens + refill >= kBurst) {
      m_tokens = kBurst;
      m_refilled_until = now;
    } else {
      m_tokens += refill;
      m_refilled_until += refill * kRefillInterval;
    }
    if (m_tokens == 0) {
      return false;
    }
    --m_tokens;
    return true;
  }

 private:
  std::int64_t m_tokens = kBurst;
  TimePoint m_refilled_until;
};

}  // namespace teaselrudder
