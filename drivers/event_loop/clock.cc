#include "drivers/event_loop/clock.h"

#include <chrono>

namespace teaselrudder {

TimePoint SteadyClock::now() const {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(since_start));
}

}  // namespace teaselrudder
