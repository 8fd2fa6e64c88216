#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "core/time.h"

namespace teaselrudder {

/// One decision that changed the state of a group or a host.
struct DecisionEntry {
  TimePoint at;
  /// The group or host that the decision concerns.
  std::string subject;
  std::string event;
  std::string cause;
};

/// The last decisions of this host, for operators' questions.
class DecisionLog {
 public:
  /// Entries that are kept.
  static constexpr std::size_t kMaxEntries = 512;

  /// Adds a decision; the oldest one goes when the log is full.
  void add(DecisionEntry entry) {
    if (m_entries.size() == kMaxEntries) {
      m_entries.pop_front();
    }
    m_entries.push_back(std::move(entry));
  }

  /// Returns the entries about `subject`, or all if it is empty, the newest first.
  std::vector<DecisionEntry> about(const std::string& subject) const {
    std::vector<DecisionEntry> found;
    for (auto entry = m_entries.rbegin(); entry != m_entries.rend(); ++entry) {
      if (subject.empty() || entry->subject == subject) {
        found.push_back(*entry);
      }
    }
    return found;
  }

 private:
  std::deque<DecisionEntry> m_entries;
};

}  // namespace teaselrudder
