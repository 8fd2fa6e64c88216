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

/// Histogram of latencies with logarithmic bins from 10 microseconds to 100 seconds.
class LatencyHistogram {
 public:
  LatencyHistogram();

  /// Adds one latency. Values outside the range are counted in the first or last bin.
  void record(Duration latency);

  /// Returns the `fraction` quantile (`fraction` is between 0 and 1), rounded up to the upper edge of its bin; zero if
  /// nothing was recorded.
  Duration quantile(double fraction) const;

  /// Returns the number of recorded latencies.
  std::uint64_t count() const { return m_count; }

  /// Returns the histogram in the Prometheus text format, under the name `teaselrudder_<name>_seconds`.
  std::string to_prometheus(std::string_view name) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<std::uint64_t>;

  boost::histogram::histogram<std::tuple<Axis>, Storage> m_histogram;
  std::uint64_t m_count = 0;
  Duration m_sum{0};
};

}  // namespace teaselrudder
