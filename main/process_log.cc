#include "main/process_log.h"

#include <utility>

#include "core/event_line.h"
#include "main/logging.h"

namespace teaselrudder {

ProcessLog::ProcessLog(int descriptor) : m_output(descriptor) {
  set_log_sink([this](std::string line) { m_output.add(std::move(line), m_line_is_important); });
}

ProcessLog::~ProcessLog() {
  m_output.flush();
  set_log_sink({});
}

void ProcessLog::log_state_change(std::string_view event, const LogFields& fields) {
  m_line_is_important = !is_request_event(event);
  teaselrudder::log_state_change(event, fields);
  m_line_is_important = true;
}

}  // namespace teaselrudder
