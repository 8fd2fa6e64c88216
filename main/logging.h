#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "core/ports/event_log_port.h"

namespace teaselrudder {

/// Sets up log lines on stderr. `level` is debug, info, warning or error; lines of a lower level are dropped.
void setup_logging(std::string_view level);

/// Takes one formatted line without its end.
using LogSink = std::function<void(std::string line)>;

/// Hands all lines to `sink` instead of stderr; an empty sink restores stderr. What the sink refers to must outlive its
/// use.
void set_log_sink(LogSink sink);

/// Logs a change of state at level info.
void log_state_change(std::string_view event, const LogFields& fields);

/// Logs a failure that the process survives, at level warning.
void log_warning(std::string_view event, const LogFields& fields);

/// Logs a failure that ends the process, at level error.
void log_error(std::string_view event, const LogFields& fields);

}  // namespace teaselrudder
