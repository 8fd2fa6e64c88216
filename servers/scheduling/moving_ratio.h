#pragma once

#include "core/time.h"

namespace teaselrudder {

/// Exponentially weighted ratio of observed to predicted durations. Used as a factor to correct predictions that are
/// too low or too high on average.
class MovingRatio {
 public:
  /// The ratio is limited to [`lowest`, `highest`].
  MovingRatio(double lowest, double highest) : m_lowest(lowest), m_highest(highest) {}

  /// Records one prediction and the observed duration. An observation counts for at most `highest` times its
  /// prediction, so that work that hung does not distort the ratio for long. Predictions of zero are ignored.
  void record(Duration observed, Duration predicted);

  /// Returns the ratio within the limits. Before the first observation it is 1, or the limit closest to 1.
  double value() const;

  /// Returns `predicted` multiplied by the ratio.
  Duration apply(Duration predicted) const;

 private:
  double m_lowest;
  double m_highest;
  double m_observed_sum = 0;
  double m_predicted_sum = 0;
};

}  // namespace teaselrudder
