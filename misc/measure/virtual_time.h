#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "core/time.h"

namespace teaselrudder::measure {

/// Runs callbacks in the order of their virtual time; equal times run in the order in which they were scheduled.
class VirtualTime {
 public:
  TimePoint now() const { return m_now; }

  /// Runs `callback` after `delay`.
  void after(Duration delay, std::function<void()> callback);

  /// Runs all callbacks up to `end`.
  void run_until(TimePoint end);

 private:
  struct Event {
    TimePoint at;
    std::uint64_t sequence = 0;
    std::function<void()> callback;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
    }
  };

  TimePoint m_now;
  std::uint64_t m_next_sequence = 0;
  std::priority_queue<Event, std::vector<Event>, Later> m_events;
};

/// Random values of one run; equal seeds give equal runs.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : m_engine(seed) {}

  /// Returns a value in [0, 1).
  double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }

  /// Returns a whole number in [0, count).
  std::size_t below(std::size_t count);

  /// Returns an exponentially distributed duration.
  Duration exponential(Duration mean);

  /// Returns a log-normally distributed duration; its standard deviation is about half its mean.
  Duration log_normal(Duration mean);

 private:
  std::mt19937_64 m_engine;
};

}  // namespace teaselrudder::measure
