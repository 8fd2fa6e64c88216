#pragma once

#include <map>
#include <string>
#include <string_view>

#include "core/ports/event_log_port.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// One line of a log: what a process did or came to believe, and what decided it.
struct EventLine {
  /// Local time of the process in ISO 8601, to the millisecond; it sorts as text.
  std::string time;
  /// The process, if the line names it in front of its time; otherwise empty.
  std::string host;
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;

  /// Returns the field, or an empty text.
  std::string field(std::string_view name) const;
};

/// Returns `event=<event> key=value ...`. Values that a reader could not tell from the rest of the line are quoted.
std::string format_event(std::string_view event, const LogFields& fields);

/// Reads a line of a log. Words before its time are taken for the name of the process, numbers among them are ignored.
/// The error says what is wrong with the line.
tl::expected<EventLine, std::string> parse_event_line(std::string_view line);

/// Tells whether lines of this event concern one request each, and not the state of the process.
bool concerns_request(std::string_view event);

}  // namespace teaselrudder
