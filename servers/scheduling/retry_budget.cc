#include "servers/scheduling/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace teaselrudder {

namespace {

constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(5);
constexpr Duration kLongestRetryDelay = std::chrono::milliseconds(200);
/// Limits the shift of the delay against overflow; kLongestRetryDelay is reached before.
constexpr std::uint32_t kMaxDoublings = 10;

}  // namespace

void RetryBudget::on_request() { m_credit = std::min(m_credit + 1, kBurst * kRequestsPerRetry); }

bool RetryBudget::try_spend() {
  if (m_credit < kRequestsPerRetry) {
    return false;
  }
  m_credit -= kRequestsPerRetry;
  return true;
}

Duration retry_delay(std::uint32_t attempt, double random) {
  const Duration doubled = kFirstRetryDelay * (1 << std::min(attempt, kMaxDoublings));
  const Duration upper = std::min(doubled, kLongestRetryDelay);
  const double share = 0.5 + std::clamp(random, 0.0, 1.0) / 2;
  return Duration(std::llround(static_cast<double>(upper.count()) * share));
}

}  // namespace teaselrudder
