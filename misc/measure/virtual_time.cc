#include "misc/measure/virtual_time.h"

#include <cmath>
#include <utility>

namespace teaselrudder::measure {

namespace {

/// Standard deviation of the logarithm of log-normal values.
constexpr double kSigma = 0.5;

Duration rounded(double microseconds) { return Duration(std::llround(microseconds)); }

}  // namespace

void VirtualTime::after(Duration delay, std::function<void()> callback) {
  m_events.push(Event{m_now + delay, m_next_sequence++, std::move(callback)});
}

void VirtualTime::run_until(TimePoint end) {
  while (!m_events.empty() && m_events.top().at <= end) {
    m_now = m_events.top().at;
    const std::function<void()> callback = m_events.top().callback;
    m_events.pop();
    callback();
  }
  m_now = end;
}

std::size_t RandomSource::uniform_index(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_engine);
}

Duration RandomSource::exponential(Duration mean) {
  return rounded(std::exponential_distribution<double>(1.0 / static_cast<double>(mean.count()))(m_engine));
}

Duration RandomSource::log_normal(Duration mean) {
  const double mu = std::log(static_cast<double>(mean.count())) - kSigma * kSigma / 2;
  return rounded(std::lognormal_distribution<double>(mu, kSigma)(m_engine));
}

}  // namespace teaselrudder::measure
