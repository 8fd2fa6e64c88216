#include "servers/scheduling/moving_ratio.h"

#include <algorithm>
#include <cmath>

namespace teaselrudder {

namespace {

/// Weight of a new observation in the moving sums. Estimates that are wrong by a factor of 10 are corrected within
/// about 100 executions.
constexpr double kDecay = 1.0 / 32;

}  // namespace

void MovingRatio::record(Duration observed, Duration predicted) {
  if (predicted <= Duration::zero()) {
    return;
  }
  const auto predicted_count = static_cast<double>(predicted.count());
  const double observed_count = std::clamp(static_cast<double>(observed.count()), 0.0, m_highest * predicted_count);
  m_observed_sum += observed_count - m_observed_sum * kDecay;
  m_predicted_sum += predicted_count - m_predicted_sum * kDecay;
}

double MovingRatio::value() const {
  const double quotient = m_predicted_sum > 0 ? m_observed_sum / m_predicted_sum : 1.0;
  return std::clamp(quotient, m_lowest, m_highest);
}

Duration MovingRatio::apply(Duration predicted) const {
  return Duration(std::llround(static_cast<double>(predicted.count()) * value()));
}

}  // namespace teaselrudder
