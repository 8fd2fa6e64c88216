#pragma once

#include "core/time.h"

namespace teaselrudder {

/// Moving quotient of observed and predicted durations, which corrects predictions that are wrong on the whole.
class MovingRatio {
 public:
  /// The value stays within [`lowest`, `highest`].
  MovingRatio(double lowest, double highest) : m_lowest(lowest), m_highest(highest) {}

  /// Adds one prediction and what was observed. One observation counts for at most `highest` times its prediction, so
  /// that work that hung does not distort the value for long.
  void record(Duration observed, Duration predicted);

  /// Returns the quotient of the moving sums, or the value closest to 1 within the bounds before the first observation.
  double value() const;

  /// Returns `predicted` corrected by the quotient.
  Duration apply(Duration predicted) const;

 private:
  double m_lowest;
  double m_highest;
  double m_observed_sum = 0;
  double m_predicted_sum = 0;
};

}  // namespace teaselrudder
