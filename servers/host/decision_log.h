#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "core/time.h"

namespace teaselrudder {

/// One change of the state of a group or a host, and its cause.
struct DecisionEntry {
  TimePoint at;
  /// Name of the group or host that changed.
  std::string subject;
  std::string event;
  std::string cause;
};

/// Keeps the most recent state changes that this host has recorded, for the operator command SHOW.
class DecisionLog {
 public:
  /// Maximum number of entries.
  static constexpr std::size_t kMaxEntries = 512;

  /// Adds an entry, and removes the oldest one if the log is full.
  void add(DecisionEntry entry) {
    if (m_entries.size() == kMaxEntries) {
      m_entries.pop_front();
    }
    m_entries.push_back(std::move(entry));
  }

  /// Returns the entries of `subject`, or all entries if `subject` is empty, newest first.
  std::vector<DecisionEntry> entries_for(const std::string& subject) const {
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
