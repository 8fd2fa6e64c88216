#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "core/ports/event_log_port.h"

namespace teaselrudder {

/// Configures logging to stderr. `level` is debug, info, warning or error; less severe lines are dropped.
void setup_logging(std::string_view level);

/// Receives one formatted line without a line break at the end.
using LogSink = std::function<void(std::string line)>;

/// Sends all lines to `sink` instead of stderr; an empty sink restores stderr. Everything that the sink refers to must
/// exist until it is replaced.
void set_log_sink(LogSink sink);

/// Logs a change of state at level info.
void log_state_change(std::string_view event, const LogFields& fields);

/// Logs a failure after which the process continues, at level warning.
void log_warning(std::string_view event, const LogFields& fields);

/// Logs a failure that ends the process, at level error.
void log_error(std::string_view event, const LogFields& fields);

}  // namespace teaselrudder
