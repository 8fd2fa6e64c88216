#include "drivers/event_loop/clock.h"

#include <ctime>

namespace teaselrudder {

TimePoint SteadyClock::now() const {
  timespec since_boot{};
  clock_gettime(CLOCK_BOOTTIME, &since_boot);
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(since_boot.tv_sec) +
                                                        std::chrono::nanoseconds(since_boot.tv_nsec)));
}

}  // namespace teaselrudder
