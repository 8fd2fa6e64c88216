#pragma once

#include <algorithm>
#include <cstddef>

#include "core/time.h"

namespace teaselrudder {

/// Adaptive limit on the statements that this host has running at one member. It increases additively with each answer
/// and decreases by a factor when the member reports that it is busy.
///
/// Statements above the limit wait on the host in order of priority. The member's own queue has no priorities and
/// rejects statements once it is full.
class AdmissionWindow {
 public:
  static constexpr double kMinWidth = 1;
  static constexpr double kMaxWidth = 64;
  static constexpr double kInitialWidth = 4;
  /// Factor applied to the width when the member refuses a statement.
  static constexpr double kDecreaseFactor = 0.7;
  /// Total increase of the width over as many answers as the window is wide.
  static constexpr double kIncreasePerWindow = 0.2;
  /// Minimum time between two decreases. Refusals that arrive close together have the same cause and count once.
  static constexpr Duration kMinDecreaseInterval = std::chrono::milliseconds(50);

  bool admits(std::size_t active) const { return static_cast<double>(active) < m_width; }

  void on_answer() { m_width = std::min(kMaxWidth, m_width + kIncreasePerWindow / m_width); }

  void on_refusal(TimePoint now) {
    if (now < m_decreased_at + kMinDecreaseInterval) {
      return;
    }
    m_decreased_at = now;
    m_width = std::max(kMinWidth, m_width * kDecreaseFactor);
  }

  double width() const { return m_width; }

 private:
  double m_width = kInitialWidth;
  TimePoint m_decreased_at;
};

}  // namespace teaselrudder
