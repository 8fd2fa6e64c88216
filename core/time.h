#pragma once

#include <chrono>
#include <cstdint>

namespace teaselrudder {

/// All durations of the decision layers, in microseconds.
using Duration = std::chrono::duration<std::int64_t, std::micro>;

/// Tag clock of the decision layers.
///
/// It has no now(): decisions receive the time as an argument, and only drivers read a clock.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// A point on the monotonic clock of one process. Never compared between hosts.
using TimePoint = MonotonicClock::time_point;

/// Returns `duration` in whole milliseconds, rounded down.
constexpr std::int64_t to_milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace teaselrudder
