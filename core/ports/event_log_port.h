#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace teaselrudder {

/// Fields of a log line, in the order in which they are written.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Log of state changes, one line each.
class EventLogPort {
 public:
  EventLogPort() = default;
  EventLogPort(const EventLogPort&) = delete;
  EventLogPort& operator=(const EventLogPort&) = delete;
  virtual ~EventLogPort() = default;

  /// Writes `event` with its fields.
  virtual void log_state_change(std::string_view event, const LogFields& fields) = 0;
};

}  // namespace teaselrudder
