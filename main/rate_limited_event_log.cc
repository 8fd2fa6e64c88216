#include "main/rate_limited_event_log.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

RateLimitedEventLog::RateLimitedEventLog(EventLogPort& target, const Clock& clock, Counters& counters)
    : m_target(target), m_clock(clock), m_counters(counters) {}

void RateLimitedEventLog::log_state_change(std::string_view event, const LogFields& fields) {
  auto found = m_kinds.find(event);
  const TimePoint now = m_clock.now();
  if (found == m_kinds.end()) {
    found = m_kinds.emplace(std::string(event), EventKind{}).first;
    found->second.refilled_at = now;
  }
  EventKind& kind = found->second;
  const std::chrono::duration<double> elapsed = now - kind.refilled_at;
  kind.lines_left = std::min(kBurst, kind.lines_left + elapsed.count() * kLinesPerSecond);
  kind.refilled_at = now;
  if (kind.lines_left < 1) {
    ++kind.dropped;
    m_counters.count("log_lines_dropped");
    return;
  }
  kind.lines_left -= 1;
  if (const std::uint64_t dropped = std::exchange(kind.dropped, 0); dropped > 0) {
    m_target.log_state_change("log_lines_dropped", {{"of", std::string(event)}, {"count", std::to_string(dropped)}});
  }
  m_target.log_state_change(event, fields);
}

}  // namespace teaselrudder
