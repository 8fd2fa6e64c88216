#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/time.h"

namespace teaselrudder {

/// A set of timers, at most one for each key.
template <typename Key>
class TimerQueue {
 public:
  /// Sets the timer of `key` to `at`, replacing the one it has.
  void schedule(const Key& key, TimePoint at) {
    cancel(key);
    m_times[key] = at;
    m_order.insert({at, key});
  }

  /// Removes the timer of `key`, if there is one.
  void cancel(const Key& key) {
    const auto found = m_times.find(key);
    if (found == m_times.end()) {
      return;
    }
    m_order.erase({found->second, key});
    m_times.erase(found);
  }

  /// Returns whether `key` has a timer.
  bool contains(const Key& key) const { return m_times.contains(key); }

  /// Removes the timers that have expired, and returns their keys in order of expiry.
  std::vector<Key> take_due(TimePoint now) {
    std::vector<Key> due;
    while (!m_order.empty() && m_order.begin()->first <= now) {
      due.push_back(m_order.begin()->second);
      m_times.erase(m_order.begin()->second);
      m_order.erase(m_order.begin());
    }
    return due;
  }

  /// Returns when the next timer expires, or nothing if there is none.
  std::optional<TimePoint> next() const {
    if (m_order.empty()) {
      return std::nullopt;
    }
    return m_order.begin()->first;
  }

 private:
  std::map<Key, TimePoint> m_times;
  std::set<std::pair<TimePoint, Key>> m_order;
};

}  // namespace teaselrudder
