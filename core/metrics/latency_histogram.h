#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "core/time.h"

namespace teaselrudder {

/// Distribution of latencies on a logarithmic axis from 10 microseconds to 100 seconds.
class LatencyHistogram {
 public:
  LatencyHistogram();

  /// Adds one latency; values outside the axis land in the first or last bin.
  void record(Duration latency);

  /// Returns the upper edge of the bin that holds the given share of the recorded latencies, or zero if none was
  /// recorded. `share` is between 0 and 1.
  Duration quantile(double share) const;

  /// Returns the number of recorded latencies.
  std::uint64_t count() const { return m_count; }

  /// Writes the histogram named `teaselrudder_<name>_seconds` in the Prometheus text form.
  std::string to_prometheus(std::string_view name) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<std::uint64_t>;

  boost::histogram::histogram<std::tuple<Axis>, Storage> m_histogram;
  std::uint64_t m_count = 0;
  Duration m_sum{0};
};

}  // namespace teaselrudder
