#pragma once

#include <string>
#include <string_view>

#include "core/ports/event_log_port.h"
#include "drivers/log/line_output.h"

namespace teaselrudder {

/// The log of a process, written to a file descriptor through a buffer that never blocks. All log lines of the process
/// go through it while it exists. Only one can exist at a time, because the sink of the log library is global.
class ProcessLog final : public EventLogPort {
 public:
  explicit ProcessLog(int descriptor);
  ~ProcessLog() override;

  void log_state_change(std::string_view event, const LogFields& fields) override;

  /// Writes as much of the buffered lines as the descriptor accepts without blocking.
  void flush() { m_output.flush(); }

  const LineOutput& output() const { return m_output; }

 private:
  LineOutput m_output;
  bool m_line_is_important = true;
};

}  // namespace teaselrudder
