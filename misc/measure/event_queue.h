#pragma once

#include <functional>
#include <map>
#include <utility>

#include "core/time.h"

// Header-only, because both the measurement programs and the tests use it.
namespace teaselrudder::model {

/// Virtual clock with a queue of events, which run in the order of their time. Events with equal times run in the order
/// in which they were added.
class EventQueue {
 public:
  TimePoint now() const { return m_now; }

  /// Adds an event that runs at `time`.
  void at(TimePoint time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }

  /// Advances the clock by `duration` and runs all events that are due.
  void run_for(Duration duration) {
    const TimePoint end = m_now + duration;
    while (!m_events.empty() && m_events.begin()->first <= end) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
    m_now = end;
  }

  /// Runs until `done` returns true, for at most `limit`. Returns whether it did. Checks once a millisecond.
  bool run_until(const std::function<bool()>& done, Duration limit) {
    const TimePoint end = m_now + limit;
    while (!done() && m_now < end) {
      run_for(std::chrono::milliseconds(1));
    }
    return done();
  }

 private:
  // Not zero, since some code uses the zero of the clock for "never".
  TimePoint m_now{std::chrono::hours(1)};
  std::multimap<TimePoint, std::function<void()>> m_events;
};

}  // namespace teaselrudder::model
