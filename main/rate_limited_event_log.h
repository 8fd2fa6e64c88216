#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "core/metrics/counters.h"
#include "core/ports/event_log_port.h"
#include "drivers/event_loop/clock.h"

namespace teaselrudder {

/// Forwards log lines with a rate limit for each kind of event, so that logging uses a limited share of the CPU when a
/// failure affects every request. Dropped lines are counted, and a line `log_lines_dropped` reports their number.
class RateLimitedEventLog final : public EventLogPort {
 public:
  /// Limits for each kind of event: average number of lines per second, and maximum number of lines in a burst.
  static constexpr double kLinesPerSecond = 20;
  static constexpr double kBurst = 60;

  /// All references must outlive the object.
  RateLimitedEventLog(EventLogPort& target, const Clock& clock, Counters& counters);

  void log_state_change(std::string_view event, const LogFields& fields) override;

 private:
  // Token bucket of one kind of event.
  struct EventKind {
    double lines_left = kBurst;
    TimePoint refilled_at;
    std::uint64_t dropped = 0;
  };

  EventLogPort& m_target;
  const Clock& m_clock;
  Counters& m_counters;
  std::map<std::string, EventKind, std::less<>> m_kinds;
};

}  // namespace teaselrudder
