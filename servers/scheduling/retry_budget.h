#pragma once

#include <cstdint>

#include "core/time.h"

namespace teaselrudder {

/// Limits retries to 10% of requests with a burst of 20, so that retries cannot multiply an overload.
class RetryBudget {
 public:
  /// Requests that earn one retry.
  static constexpr std::uint32_t kRequestsPerRetry = 10;
  /// Retries that can be saved up. A new budget is full.
  static constexpr std::uint32_t kBurst = 20;

  /// Counts a request of a caller; retries do not count.
  void on_request();

  /// Takes one retry from the budget. Returns false and takes nothing if the budget is spent.
  bool try_spend();

 private:
  /// Saved retries in units of 1 / kRequestsPerRetry, which keeps the sum exact.
  std::uint32_t m_saved = kBurst * kRequestsPerRetry;
};

/// Returns the pause before retry number `attempt` (from 0): doubles from 5 ms up to 200 ms, and `random` in [0, 1)
/// spreads it over the upper half, so that requests refused together do not return together.
Duration retry_delay(std::uint32_t attempt, double random);

}  // namespace teaselrudder
