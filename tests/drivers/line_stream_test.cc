#include "drivers/net/line_stream.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace teaselrudder {

namespace {

constexpr std::size_t kMaxLineBytes = 16;

/// What a stream received until its peer closed the connection.
struct Received {
  std::vector<std::string> lines;
  bool too_long = false;
};

class Receiver final : public LineStreamEvents {
 public:
  Receiver(uv_loop_t* loop, Received& received) : m_received(received), m_stream(loop, kMaxLineBytes, *this) {}

  void accept_from(uv_stream_t* listener) { m_stream.accept_from(listener); }

 private:
  void on_line(std::string_view line) override { m_received.lines.emplace_back(line); }
  void on_line_too_long() override {
    m_received.too_long = true;
    m_stream.close_after_sending();
  }
  void on_stream_end() override { m_stream.close_after_sending(); }

  Received& m_received;
  LineStream m_stream;
};

/// Sends texts one after the other and closes the connection.
class Sender final : public LineStreamEvents {
 public:
  Sender(uv_loop_t* loop, std::uint16_t port, std::vector<std::string> texts)
      : m_texts(std::move(texts)), m_stream(loop, kMaxLineBytes, *this) {
    m_stream.connect({"127.0.0.1", port});
  }

 private:
  void on_connected() override {
    for (const std::string& text : m_texts) {
      m_stream.send(text);
    }
    m_stream.close_after_sending();
  }
  void on_line(std::string_view /*line*/) override {}
  void on_line_too_long() override {}
  void on_stream_end() override { m_stream.close_after_sending(); }

  std::vector<std::string> m_texts;
  LineStream m_stream;
};

Received receive(std::vector<std::string> texts) {
  uv_loop_t loop;
  uv_loop_init(&loop);
  Received received;
  {
    Receiver receiver(&loop, received);
    std::unique_ptr<TcpListener> listener;
    listener = std::make_unique<TcpListener>(&loop, [&](uv_stream_t* pending) {
      receiver.accept_from(pending);
      listener.reset();
    });
    CPPUNIT_ASSERT(listener->listen({"127.0.0.1", 0}).has_value());
    const Sender sender(&loop, listener->port(), std::move(texts));
    uv_run(&loop, UV_RUN_DEFAULT);
  }
  uv_run(&loop, UV_RUN_DEFAULT);
  uv_loop_close(&loop);
  return received;
}

class LineStreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LineStreamTest);
  CPPUNIT_TEST(only_cr_lf_ends_a_line);
  CPPUNIT_TEST(lines_above_the_limit_are_reported);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a line feed in a caller's text that splits one statement into two.
  void only_cr_lf_ends_a_line() {
    const std::vector<std::string> expected = {"READ a\nQUERY b", "", "x\ry", "READ b\r", "\n"};
    CPPUNIT_ASSERT(receive({"READ a\nQUERY b\r\n\r\nx\ry\r", "\nREAD b\r\r\n\n", "\r\n"}).lines == expected);
  }

  // Guards against lines that are accepted above the limit or refused at the limit.
  void lines_above_the_limit_are_reported() {
    CPPUNIT_ASSERT(!receive({std::string(kMaxLineBytes, 'a') + "\r\n"}).too_long);
    CPPUNIT_ASSERT(receive({std::string(kMaxLineBytes + 1, 'a') + "\r\n"}).too_long);
    CPPUNIT_ASSERT(receive({std::string(kMaxLineBytes + 3, 'a')}).too_long);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineStreamTest);

}  // namespace

}  // namespace teaselrudder
