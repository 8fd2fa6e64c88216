#pragma once

#include <cstdint>

#include "core/time.h"

namespace teaselrudder {

/// Token bucket that limits retries to 10% of the requests, with a burst of 20, so that retries do not amplify an
/// overload.
class RetryBudget {
 public:
  /// Number of requests that allow one retry.
  static constexpr std::uint32_t kRequestsPerRetry = 10;
  /// Maximum number of retries in the budget. A new budget is full.
  static constexpr std::uint32_t kBurst = 20;

  /// Adds the credit of one request of a caller. Not to be called for retries.
  void on_request();

  /// Takes one retry from the budget. Returns false and takes nothing if less than one retry is left.
  bool try_spend();

 private:
  /// Available retries in units of 1 / kRequestsPerRetry, so that integer arithmetic is exact.
  std::uint32_t m_credit = kBurst * kRequestsPerRetry;
};

/// Returns the delay before retry number `attempt`, counted from 0. Its upper bound doubles from 5 ms to 200 ms, and
/// `random` in [0, 1) chooses a value in the upper half of it, so that requests that were refused at the same time are
/// not retried at the same time.
Duration retry_delay(std::uint32_t attempt, double random);

}  // namespace teaselrudder
