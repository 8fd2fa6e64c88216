#pragma once

#include <algorithm>

#include "core/time.h"

namespace teaselrudder {

/// Token bucket that limits one host's reads from the platform's store, whose request rate all hosts share.
class ReadBudget {
 public:
  /// Capacity of the bucket, in reads. The bucket starts full.
  static constexpr std::int64_t kBurst = 10;
  /// Time after which one read is added.
  static constexpr Duration kRefillInterval = std::chrono::milliseconds(500);

  /// Takes one read from the bucket. Returns false if it is empty.
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
