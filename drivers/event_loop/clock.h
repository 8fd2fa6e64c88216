#pragma once

#include "core/time.h"

namespace teaselrudder {

/// Source of the current time for drivers. Tests substitute their own implementation.
class Clock {
 public:
  Clock() = default;
  Clock(const Clock&) = delete;
  Clock& operator=(const Clock&) = delete;
  virtual ~Clock() = default;

  /// Returns the current time, which never decreases.
  virtual TimePoint now() const = 0;
};

/// Reads the system's CLOCK_BOOTTIME, a monotonic clock that also advances while the machine is suspended. Data that
/// was received before a suspension therefore has its true age afterwards.
class SteadyClock : public Clock {
 public:
  TimePoint now() const override;
};

}  // namespace teaselrudder
