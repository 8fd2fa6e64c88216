#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace teaselrudder {

/// Writes lines to a file descriptor through a bounded buffer, so that a reader that stops reading neither blocks the
/// process nor makes its memory grow.
class LineOutput {
 public:
  /// Maximum size of the buffer in bytes. Lines that are not important may fill only half of it.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;

  explicit LineOutput(int descriptor) : m_descriptor(descriptor) {}

  /// Appends a line, given without its line end, to the buffer. If there is no room, the line is dropped and counted.
  /// Lines about the state of the process should be `important`, lines about a single request should not.
  void add(std::string line, bool important);

  /// Writes as much of the buffer as the descriptor accepts without blocking. If lines were dropped, adds a line with
  /// their number once the buffer is empty.
  void flush();

  /// Returns the number of bytes that were not written yet.
  std::size_t buffered_bytes() const { return m_buffered_bytes; }
  /// Returns the number of lines that were dropped so far.
  std::uint64_t dropped_lines() const { return m_dropped_lines; }

 private:
  bool is_writable() const;

  int m_descriptor;
  std::deque<std::string> m_lines;
  /// Number of bytes of the first buffered line that were already written.
  std::size_t m_first_line_written_bytes = 0;
  std::size_t m_buffered_bytes = 0;
  std::uint64_t m_dropped_lines = 0;
  std::uint64_t m_reported_dropped_lines = 0;
};

}  // namespace teaselrudder
