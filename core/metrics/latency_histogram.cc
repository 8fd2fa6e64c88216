#include "core/metrics/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace teaselrudder {

namespace {

constexpr double kLowestMicroseconds = 10;
constexpr double kHighestMicroseconds = 1e8;
// 10 bins per decade over 7 decades: adjacent bin edges differ by 26%, which bounds the error of quantiles.
constexpr unsigned kBins = 70;
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(std::make_tuple(Axis(kBins, kLowestMicroseconds, kHighestMicroseconds)), Storage()) {}

void LatencyHistogram::record(Duration latency) {
  const auto microseconds = static_cast<double>(latency.count());
  m_histogram(std::clamp(microseconds, kLowestMicroseconds, kHighestMicroseconds - 1));
  ++m_count;
  m_sum += latency;
}

Duration LatencyHistogram::quantile(double fraction) const {
  if (m_count == 0) {
    return Duration::zero();
  }
  const auto wanted = static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(m_count)));
  std::uint64_t seen = 0;
  const auto& axis = m_histogram.axis(0);
  for (int bin = 0; bin < axis.size(); ++bin) {
    seen += m_histogram.at(bin);
    if (seen >= wanted) {
      return Duration(static_cast<std::int64_t>(axis.bin(bin).upper()));
    }
  }
  return Duration(static_cast<std::int64_t>(kHighestMicroseconds));
}

std::string LatencyHistogram::to_prometheus(std::string_view name) const {
  std::ostringstream out;
  out << "# TYPE teaselrudder_" << name << "_seconds histogram\n";
  std::uint64_t seen = 0;
  const auto& axis = m_histogram.axis(0);
  for (int bin = 0; bin < axis.size(); ++bin) {
    seen += m_histogram.at(bin);
    out << "teaselrudder_" << name << "_seconds_bucket{le=\"" << axis.bin(bin).upper() / kMicrosecondsPerSecond
        << "\"} " << seen << '\n';
  }
  out << "teaselrudder_" << name << "_seconds_bucket{le=\"+Inf\"} " << m_count << '\n';
  out << "teaselrudder_" << name << "_seconds_sum " << static_cast<double>(m_sum.count()) / kMicrosecondsPerSecond
      << '\n';
  out << "teaselrudder_" << name << "_seconds_count " << m_count << '\n';
  return out.str();
}

}  // namespace teaselrudder
