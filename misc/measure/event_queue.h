#pragma once

#include <functional>
#include <map>
#include <utility>

#include "core/time.h"

// Header-only, because both the measurement programs and the tests use it.
namespace teaselrudder::model {

/// Events of a model in the order of their virtual time; equal times run in the order in which they were added.
class EventQueue {
 public:
  TimePoint now() const { return m_now; }

  /// Adds an event.
  void at(TimePoint time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }

  /// Runs all events of the next `duration`.
  void run_for(Duration duration) {
    const TimePoint end = m_now + duration;
    while (!m_events.empty() && m_events.begin()->first <= end) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
    m_now = end;
  }

  /// Runs until `done` or for at most `limit`; returns whether `done` became true.
  bool run_until(const std::function<bool()>& done, Duration limit) {
    const TimePoint end = m_now + limit;
    while (!done() && m_now < end) {
      run_for(std::chrono::milliseconds(1));
    }
    return done();
  }

 private:
  // Not at the beginning of the clock, which stands for "never" in places.
  TimePoint m_now{std::chrono::hours(1)};
  std::multimap<TimePoint, std::function<void()>> m_events;
};

}  // namespace teaselrudder::model
