#include "servers/scheduling/standing_queue.h"

#include <algorithm>
#include <cmath>

namespace teaselrudder {

namespace {

/// A queue becomes standing when it is empty for less than this share of the time; demand is then at or above capacity.
constexpr double kStandingBelow = 0.05;

/// A queue stops being standing when it is empty for more than this share of the time. A queue that is limited to one
/// item for each slot is empty for half of the time when demand equals capacity.
constexpr double kClearedAbove = 0.5;

}  // namespace

void StandingQueue::observe(bool empty, TimePoint now) {
  const auto elapsed = static_cast<double>(std::max(now - m_last, Duration::zero()).count());
  const double kept = std::exp(-elapsed / static_cast<double>(kTimeConstant.count()));
  m_empty_share = m_empty_share * kept + (m_empty ? 1 - kept : 0.0);
  m_standing = m_standing ? m_empty_share <= kClearedAbove : m_empty_share < kStandingBelow;
  m_empty = empty;
  m_last = now;
}

}  // namespace teaselrudder
