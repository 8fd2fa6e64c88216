#pragma once

#include <string>
#include <string_view>

#include "core/ports/event_log_port.h"
#include "drivers/log/line_output.h"

namespace teaselrudder {

/// The log of a process on its standard output, behind a buffer that never blocks. There is one a process, since the
/// log library is one; while it exists, all log lines go through it.
class ProcessLog final : public EventLogPort {
 public:
  explicit ProcessLog(int descriptor);
  ~ProcessLog() override;

  void log_state_change(std::string_view event, const LogFields& fields) override;

  /// Writes what the descriptor takes at once.
  void flush() { m_output.flush(); }

  const LineOutput& output() const { return m_output; }

 private:
  LineOutput m_output;
  bool m_important = true;
};

}  // namespace teaselrudder
