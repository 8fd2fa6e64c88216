#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace teaselrudder {

/// Lines on their way to a file descriptor, kept in a bounded buffer so that a reader that stands still neither blocks
/// the process nor makes it grow.
class LineOutput {
 public:
  /// Bytes that wait at most. Beyond half of it only important lines are taken.
  static constexpr std::size_t kLimit = std::size_t{256} * 1024;

  explicit LineOutput(int descriptor) : m_descriptor(descriptor) {}

  /// Takes one line without its end. A line for which there is no room is dropped and counted. `important` lines are
  /// those on the state of the process; the others concern one request each.
  void add(std::string line, bool important);

  /// Writes as much as the descriptor takes at once. After dropped lines, one line tells how many.
  void flush();

  std::size_t buffered_bytes() const { return m_bytes; }
  std::uint64_t dropped() const { return m_dropped; }

 private:
  bool is_writable() const;

  int m_descriptor;
  std::deque<std::string> m_lines;
  /// Bytes of the first line that are written already.
  std::size_t m_written = 0;
  std::size_t m_bytes = 0;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_dropped_told = 0;
};

}  // namespace teaselrudder
