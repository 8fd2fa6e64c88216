#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "core/event_line.h"

namespace teaselrudder {

/// Log lines of several processes, merged in the order of their times.
class LogArchive {
 public:
  /// Adds the event lines of `log`; lines without an event are ignored. A line without a process name is attributed to
  /// the host in the last `started` event before it, or to `name`. Lines that cannot be parsed are counted in
  /// bad_lines().
  void add(const std::string& name, std::istream& log);

  const std::vector<EventLine>& lines() const { return m_lines; }

  /// Returns the parse errors, each with the name of the log, and the number of lines with that error.
  const std::map<std::string, std::size_t>& bad_lines() const { return m_bad_lines; }

 private:
  std::vector<EventLine> m_lines;
  std::map<std::string, std::size_t> m_bad_lines;
};

}  // namespace teaselrudder
