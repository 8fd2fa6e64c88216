#pragma once

#include <map>
#include <string>
#include <string_view>

#include "core/ports/event_log_port.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// A parsed log line: an event of a process with the values that explain it.
struct EventLine {
  /// Local time of the process in ISO 8601 with milliseconds; comparable as text.
  std::string time;
  /// Name of the process, if the line has one before its time; otherwise empty.
  std::string host;
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;

  /// Returns the value of the field `name`, or an empty string.
  std::string field(std::string_view name) const;
};

/// Returns `event=<event> key=value ...`. A value that is empty or contains a space, a quote, a backslash, `=` or a
/// control character is quoted and escaped.
std::string format_event(std::string_view event, const LogFields& fields);

/// Parses a log line. The last word before the time that is not a number is taken as the name of the process. The error
/// is a one-line description of the problem.
tl::expected<EventLine, std::string> parse_event_line(std::string_view line);

/// Returns whether `event` is logged per request rather than per change of the state of the process.
bool is_request_event(std::string_view event);

}  // namespace teaselrudder
