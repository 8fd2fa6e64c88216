#include "drivers/event_loop/event_loop.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace teaselrudder {

namespace {

/// A connected pair of sockets. libuv reads one end; send() writes to the other.
class SocketPair {
 public:
  SocketPair(uv_loop_t* loop, std::function<void()> on_readable) : m_on_readable(std::move(on_readable)) {
    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, m_ends.data());
    uv_poll_init(loop, &m_poll, m_ends[0]);
    m_poll.data = this;
    uv_poll_start(&m_poll, UV_READABLE, [](uv_poll_t* poll, int, int) {
      auto* self = static_cast<SocketPair*>(poll->data);
      std::array<char, 16> bytes{};
      if (read(self->m_ends[0], bytes.data(), bytes.size()) > 0) {
        self->m_on_readable();
      }
    });
  }
  SocketPair(const SocketPair&) = delete;
  SocketPair& operator=(const SocketPair&) = delete;

  void send() { static_cast<void>(!write(m_ends[1], "x", 1)); }

  void close_ends(EventLoop& loop) {
    uv_close(reinterpret_cast<uv_handle_t*>(&m_poll), nullptr);
    loop.run_uv_iteration();
    close(m_ends[0]);
    close(m_ends[1]);
  }

 private:
  std::array<int, 2> m_ends{};
  uv_poll_t m_poll{};
  std::function<void()> m_on_readable;
};

class EventLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLoopTest);
  CPPUNIT_TEST(timers_and_sockets_of_both_libraries_progress);
  CPPUNIT_TEST(idle_loop_does_not_spin);
  CPPUNIT_TEST(libuv_work_started_in_kj_continuation_runs);
  CPPUNIT_TEST(schedule_replaces_and_is_never_early);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against timers or sockets of one library that starve while the other library is busy.
  void timers_and_sockets_of_both_libraries_progress() {
    EventLoop loop(m_clock);
    int uv_events = 0;
    int kj_events = 0;
    SocketPair sockets(loop.uv_loop(), [&] { ++uv_events; });
    kj::Timer& timer = loop.async_io().provider->getTimer();
    const std::function<kj::Promise<void>(int)> kj_ticks = [&](int left) -> kj::Promise<void> {
      ++kj_events;
      sockets.send();
      if (left == 0) {
        return kj::READY_NOW;
      }
      return timer.afterDelay(1 * kj::MILLISECONDS).then([&kj_ticks, left] { return kj_ticks(left - 1); });
    };
    auto ticking = kj_ticks(20).eagerlyEvaluate(nullptr);
    const std::function<void()> uv_tick = [&] {
      if (kj_events == 21 && uv_events > 0) {
        loop.stop();
        return;
      }
      loop.schedule(m_clock.now() + std::chrono::milliseconds(1), uv_tick);
    };
    loop.schedule(m_clock.now(), uv_tick);
    loop.run();
    CPPUNIT_ASSERT_EQUAL(21, kj_events);
    CPPUNIT_ASSERT(uv_events > 0);
    sockets.close_ends(loop);
  }

  // Guards against a busy loop while no event occurs.
  void idle_loop_does_not_spin() {
    EventLoop loop(m_clock);
    loop.schedule(m_clock.now() + std::chrono::milliseconds(200), [&] { loop.stop(); });
    loop.run();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(loop.iteration_count()) + " iterations", loop.iteration_count() <= 10);
  }

  // Guards against a libuv timer or write that is delayed until an unrelated event. This happens if it is started in a
  // KJ continuation and KJ blocks before libuv runs again.
  void libuv_work_started_in_kj_continuation_runs() {
    EventLoop loop(m_clock);
    kj::Timer& timer = loop.async_io().provider->getTimer();
    bool fired = false;
    auto later = timer.afterDelay(2 * kj::MILLISECONDS)
                     .then([&] {
                       loop.schedule(m_clock.now(), [&] {
                         fired = true;
                         loop.stop();
                       });
                     })
                     .eagerlyEvaluate(nullptr);
    loop.run();
    CPPUNIT_ASSERT(fired);
  }

  // Guards against a callback that runs before its time, and against a replaced callback that still runs.
  void schedule_replaces_and_is_never_early() {
    EventLoop loop(m_clock);
    bool replaced_ran = false;
    for (int repetition = 0; repetition < 20; ++repetition) {
      loop.schedule(m_clock.now(), [&] { replaced_ran = true; });
      const TimePoint due = m_clock.now() + std::chrono::microseconds(1500);
      loop.schedule(due, [&] { loop.stop(); });
      loop.run();
      CPPUNIT_ASSERT(m_clock.now() >= due);
    }
    CPPUNIT_ASSERT(!replaced_ran);
  }

 private:
  SteadyClock m_clock;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTest);

}  // namespace

}  // namespace teaselrudder
