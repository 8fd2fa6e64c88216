#include "drivers/log/line_output.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>

namespace teaselrudder {

namespace {

class LineOutputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LineOutputTest);
  CPPUNIT_TEST(writes_lines_complete_and_in_order);
  CPPUNIT_TEST(stalled_reader_neither_blocks_nor_grows_the_buffer);
  CPPUNIT_TEST(discards_the_buffer_when_the_reader_closed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    // As in the programs, so that a write to a closed pipe returns an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    CPPUNIT_ASSERT_EQUAL(0, pipe2(m_pipe.data(), O_CLOEXEC));
  }
  void tearDown() override {
    close(m_pipe[0]);
    close(m_pipe[1]);
  }

  // Guards against truncated or mixed lines when a write ends in the middle of a line.
  void writes_lines_complete_and_in_order() {
    LineOutput output(m_pipe[1]);
    std::string expected;
    std::string received;
    for (int index = 0; index < 3000; ++index) {
      const std::string line = "line " + std::to_string(index) + std::string(static_cast<std::size_t>(index % 97), 'x');
      expected += line + "\n";
      output.add(line, true);
      if (index % 10 == 0) {
        output.flush();
        received += read_available();
      }
    }
    const std::string large(12288, 'y');
    output.add(large, true);
    expected += large + "\n";
    while (output.buffered_bytes() > 0) {
      output.flush();
      received += read_available();
    }
    CPPUNIT_ASSERT(received == expected);
  }

  // Guards against a process that blocks, or whose memory grows, because nobody reads its log.
  void stalled_reader_neither_blocks_nor_grows_the_buffer() {
    LineOutput output(m_pipe[1]);
    for (int index = 0; index < 100000; ++index) {
      output.add("a line about a single request that nobody reads", false);
      output.flush();
      CPPUNIT_ASSERT(output.buffered_bytes() <= LineOutput::kMaxBufferedBytes / 2);
    }
    CPPUNIT_ASSERT(output.dropped_lines() > 0);
    output.add("a change of state", true);
    std::string received;
    for (int iteration = 0; iteration < 1000 && (output.buffered_bytes() > 0 || iteration < 2); ++iteration) {
      output.flush();
      received += read_available();
    }
    output.flush();
    received += read_available();
    CPPUNIT_ASSERT(received.find("a change of state") != std::string::npos);
    CPPUNIT_ASSERT(received.find("event=log_lines_dropped of=output count=" + std::to_string(output.dropped_lines())) !=
                   std::string::npos);
  }

  // Guards against endless retries of a write to a pipe whose reading end is closed.
  void discards_the_buffer_when_the_reader_closed() {
    LineOutput output(m_pipe[1]);
    close(m_pipe[0]);
    output.add("nobody reads this", true);
    output.flush();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, output.buffered_bytes());
    CPPUNIT_ASSERT(output.dropped_lines() >= 1);
    m_pipe[0] = dup(m_pipe[1]);
  }

 private:
  std::string read_available() {
    std::string text;
    fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
    std::array<char, 65536> buffer;
    for (ssize_t count = read(m_pipe[0], buffer.data(), buffer.size()); count > 0;
         count = read(m_pipe[0], buffer.data(), buffer.size())) {
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  std::array<int, 2> m_pipe{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineOutputTest);

}  // namespace

}  // namespace teaselrudder
