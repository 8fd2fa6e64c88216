#pragma once

#include <chrono>
#include <cstdint>

namespace teaselrudder {

/// A duration in microseconds, used by all decision logic (the code that neither reads a clock nor does I/O).
using Duration = std::chrono::duration<std::int64_t, std::micro>;

/// Clock type of the time points in the decision logic.
///
/// It has no now(): decision logic receives the time as an argument, and only drivers read a real clock.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

/// A time on the monotonic clock of one process. Not comparable between hosts.
using TimePoint = MonotonicClock::time_point;

/// Returns `duration` in whole milliseconds, rounded down.
constexpr std::int64_t to_milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace teaselrudder
