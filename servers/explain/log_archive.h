#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "core/event_line.h"

namespace teaselrudder {

/// The lines of several processes' logs, in the order of time.
class LogArchive {
 public:
  /// Adds the lines of `log`. Lines that name no process belong to the one that the file's `started` line names, or to
  /// `name`. Lines that cannot be read are counted.
  void add(const std::string& name, std::istream& log);

  const std::vector<EventLine>& lines() const { return m_lines; }

  /// Returns what was wrong with lines that could not be read, with the number of such lines.
  const std::map<std::string, std::size_t>& bad_lines() const { return m_bad_lines; }

 private:
  std::vector<EventLine> m_lines;
  std::map<std::string, std::size_t> m_bad_lines;
};

}  // namespace teaselrudder
