#include "drivers/log/line_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

namespace teaselrudder {

void LineOutput::add(std::string line, bool important) {
  const std::size_t limit = important ? kMaxBufferedBytes : kMaxBufferedBytes / 2;
  if (m_buffered_bytes + line.size() + 1 > limit) {
    ++m_dropped_lines;
    return;
  }
  line.push_back('\n');
  m_buffered_bytes += line.size();
  m_lines.push_back(std::move(line));
}

bool LineOutput::is_writable() const {
  pollfd descriptor{m_descriptor, POLLOUT, 0};
  return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

void LineOutput::flush() {
  if (m_lines.empty() && m_dropped_lines > m_reported_dropped_lines) {
    add("event=log_lines_dropped of=output count=" + std::to_string(m_dropped_lines - m_reported_dropped_lines), true);
    m_reported_dropped_lines = m_dropped_lines;
  }
  // The descriptor may be shared with other processes, so it is not switched to non-blocking mode. A pipe that poll()
  // reports as writable accepts PIPE_BUF bytes without blocking.
  while (!m_lines.empty() && is_writable()) {
    std::string chunk = m_lines.front().substr(m_first_line_written_bytes);
    std::size_t whole_lines = 1;
    while (whole_lines < m_lines.size() && chunk.size() + m_lines[whole_lines].size() <= PIPE_BUF) {
      chunk += m_lines[whole_lines];
      ++whole_lines;
    }
    const ssize_t written = write(m_descriptor, chunk.data(), std::min<std::size_t>(chunk.size(), PIPE_BUF));
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      // The reader has closed its end, so the buffered lines can never be delivered.
      m_dropped_lines += m_lines.size();
      m_lines.clear();
      m_buffered_bytes = 0;
      m_first_line_written_bytes = 0;
      return;
    }
    m_buffered_bytes -= static_cast<std::size_t>(written);
    m_first_line_written_bytes += static_cast<std::size_t>(written);
    while (!m_lines.empty() && m_first_line_written_bytes >= m_lines.front().size()) {
      m_first_line_written_bytes -= m_lines.front().size();
      m_lines.pop_front();
    }
  }
}

}  // namespace teaselrudder
