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
  static constexpr double kSmallest = 1;
  static constexpr double kLargest = 64;
  static constexpr double kInitial = 4;
  /// Factor applied to the width when the member refuses a statement.
  static constexpr double kShrink = 0.7;
  /// Total increase of the width over as many answers as the window is wide.
  static constexpr double kGrowth = 0.2;
  /// Minimum time between two decreases. Refusals that arrive close together have the same cause and count once.
  static constexpr Duration kReductionPause = std::chrono::milliseconds(50);

  bool admits(std::size_t active) const { return static_cast<double>(active) < m_width; }

  void on_answer() { m_width = std::min(kLargest, m_width + kGrowth / m_width); }

  void on_refusal(TimePoint now) {
    if (now < m_reduced_at + kReductionPause) {
      return;
    }
    m_reduced_at = now;
    m_width = std::max(kSmallest, m_width * kShrink);
  }

  double width() const { return m_width; }

 private:
  double m_width = kInitial;
  TimePoint m_reduced_at;
};

}  // namespace teaselrudder
