#include "servers/sessions/position_evidence.h"

#include <algorithm>
#include <iterator>

namespace teaselrudder {

void PositionEvidence::add(const LogPoint& position, TimePoint requested_at) {
  if (!m_samples.empty() && position.term != m_samples.back().position.term) {
    if (position.term < m_samples.back().position.term) {
      return;
    }
    m_samples.clear();
  }
  auto next = std::lower_bound(m_samples.begin(), m_samples.end(), requested_at,
                               [](const PositionSample& sample, TimePoint time) { return sample.requested_at < time; });
  const bool is_superseded = next != m_samples.end() && next->position <= position;
  const bool is_too_close = next != m_samples.begin() &&
                            requested_at < std::prev(next)->requested_at + kMinSampleInterval &&
                            std::prev(next)->position < position;
  if (is_superseded || is_too_close) {
    return;
  }
  auto first = next;
  while (first != m_samples.begin() && std::prev(first)->position >= position) {
    --first;
  }
  next = m_samples.erase(first, next);
  m_samples.insert(next, {position, requested_at});
  while (m_samples.front().requested_at + kMaxAge < m_samples.back().requested_at) {
    m_samples.pop_front();
  }
}

std::optional<LogPoint> PositionEvidence::position_for(TimePoint acknowledged_before) const {
  const auto found =
      std::lower_bound(m_samples.begin(), m_samples.end(), acknowledged_before,
                       [](const PositionSample& sample, TimePoint time) { return sample.requested_at < time; });
  if (found == m_samples.end()) {
    return std::nullopt;
  }
  return found->position;
}

std::optional<PositionSample> PositionEvidence::newest() const {
  if (m_samples.empty()) {
    return std::nullopt;
  }
  return m_samples.back();
}

}  // namespace teaselrudder
