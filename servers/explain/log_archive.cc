#include "servers/explain/log_archive.h"

#include <algorithm>
#include <utility>

namespace teaselrudder {

void LogArchive::add(const std::string& name, std::istream& log) {
  std::string process = name;
  for (std::string text; std::getline(log, text);) {
    if (text.find("event=") == std::string::npos) {
      continue;
    }
    auto line = parse_event_line(text);
    if (!line.has_value()) {
      ++m_bad_lines[name + ": " + line.error()];
      continue;
    }
    if (line->event == "started" && line->host.empty()) {
      process = line->field("host");
    }
    if (line->host.empty()) {
      line->host = process;
    }
    m_lines.push_back(std::move(*line));
  }
  std::stable_sort(m_lines.begin(), m_lines.end(),
                   [](const EventLine& left, const EventLine& right) { return left.time < right.time; });
}

}  // namespace teaselrudder
