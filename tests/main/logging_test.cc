#include "main/logging.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <sstream>

#include "core/event_line.h"

namespace teaselrudder {

namespace {

/// Captures what is written to std::cerr.
class CapturedStderr {
 public:
  CapturedStderr() : m_original(std::cerr.rdbuf(m_content.rdbuf())) {}
  CapturedStderr(const CapturedStderr&) = delete;
  CapturedStderr& operator=(const CapturedStderr&) = delete;
  ~CapturedStderr() { std::cerr.rdbuf(m_original); }

  std::string content() const { return m_content.str(); }

 private:
  std::ostringstream m_content;
  std::streambuf* m_original;
};

class LoggingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoggingTest);
  CPPUNIT_TEST(quotes_values_that_would_change_the_format);
  CPPUNIT_TEST(writes_to_stderr_lines_of_the_chosen_level_and_above);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against log injection: a value from a caller or an upstream that adds a field or a whole line to the log.
  void quotes_values_that_would_change_the_format() {
    CPPUNIT_ASSERT_EQUAL(std::string("event=primary_changed group=g1 term=7"),
                         format_event("primary_changed", {{"group", "g1"}, {"term", "7"}}));
    CPPUNIT_ASSERT_EQUAL(std::string(R"(event=e a="" b="x y" c="k=v" d="\"\\" e="\x0a")"),
                         format_event("e", {{"a", ""}, {"b", "x y"}, {"c", "k=v"}, {"d", "\"\\"}, {"e", "\n"}}));
  }

  // Guards against log lines on stdout between the program's output, and against a level that hides more severe lines.
  void writes_to_stderr_lines_of_the_chosen_level_and_above() {
    const CapturedStderr captured;
    setup_logging("warning");
    log_state_change("hidden", {});
    log_warning("first", {{"cause", "test"}});
    log_error("second", {});
    setup_logging("info");
    log_state_change("third", {});
    const std::string content = captured.content();
    CPPUNIT_ASSERT_MESSAGE(content, content.find("hidden") == std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(content, content.find(" level=warning event=first cause=test\n") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(content, content.find(" level=error event=second\n") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(content, content.find(" level=info event=third\n") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(content, content.starts_with("time=2"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoggingTest);

}  // namespace

}  // namespace teaselrudder
