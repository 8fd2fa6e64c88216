#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "core/time.h"

namespace teaselrudder::measure {

/// Virtual clock with scheduled callbacks, which run in the order of their time. Callbacks with equal times run in the
/// order in which they were scheduled.
class VirtualTime {
 public:
  TimePoint now() const { return m_now; }

  /// Schedules `callback` to run after `delay`.
  void after(Duration delay, std::function<void()> callback);

  /// Runs all callbacks that are due up to `end`, and advances the clock to it.
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

/// Random number generator of a run. Equal seeds give equal runs.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : m_engine(seed) {}

  /// Returns a value in [0, 1).
  double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }

  /// Returns an integer in [0, count).
  std::size_t uniform_index(std::size_t count);

  /// Returns an exponentially distributed duration.
  Duration exponential(Duration mean);

  /// Returns a log-normally distributed duration; its standard deviation is about half its mean.
  Duration log_normal(Duration mean);

 private:
  std::mt19937_64 m_engine;
};

}  // namespace teaselrudder::measure
