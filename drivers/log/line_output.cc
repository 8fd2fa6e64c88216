#include "drivers/log/line_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

namespace teaselrudder {

void LineOutput::add(std::string line, bool important) {
  const std::size_t limit = important ? kLimit : kLimit / 2;
  if (m_bytes + line.size() + 1 > limit) {
    ++m_dropped;
    return;
  }
  line.push_back('\n');
  m_bytes += line.size();
  m_lines.push_back(std::move(line));
}

bool LineOutput::is_writable() const {
  pollfd descriptor{m_descriptor, POLLOUT, 0};
  return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

void LineOutput::flush() {
  if (m_lines.empty() && m_dropped > m_dropped_told) {
    add("event=log_lines_dropped of=output count=" + std::to_string(m_dropped - m_dropped_told), true);
    m_dropped_told = m_dropped;
  }
  // The descriptor may be shared with other processes, so it stays blocking; a pipe that is ready takes PIPE_BUF bytes
  // without blocking.
  while (!m_lines.empty() && is_writable()) {
    std::string chunk = m_lines.front().substr(m_written);
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
      // Nobody reads any more; what is buffered has no use.
      m_dropped += m_lines.size();
      m_lines.clear();
      m_bytes = 0;
      m_written = 0;
      return;
    }
    m_bytes -= static_cast<std::size_t>(written);
    m_written += static_cast<std::size_t>(written);
    while (!m_lines.empty() && m_written >= m_lines.front().size()) {
      m_written -= m_lines.front().size();
      m_lines.pop_front();
    }
  }
}

}  // namespace teaselrudder
