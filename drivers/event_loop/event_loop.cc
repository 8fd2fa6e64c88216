#include "drivers/event_loop/event_loop.h"

#include <poll.h>

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

namespace teaselrudder {

namespace {

/// Maximum number of iterations in which the destructor waits for handles to close. Each handle needs one or two.
constexpr int kMaxClosingIterations = 1000;

void throw_on_uv_error(int status, const char* what) {
  if (status != 0) {
    throw std::runtime_error(std::string(what) + ": " + uv_strerror(status));
  }
}

std::unique_ptr<uv_loop_t> make_uv_loop() {
  auto loop = std::make_unique<uv_loop_t>();
  throw_on_uv_error(uv_loop_init(loop.get()), "uv_loop_init");
  return loop;
}

}  // namespace

EventLoop::EventLoop(const Clock& clock) : m_clock(clock), m_async_io(kj::setupAsyncIo()), m_uv_loop(make_uv_loop()) {
  throw_on_uv_error(uv_async_init(m_uv_loop.get(), &m_wakeup, [](uv_async_t*) {}), "uv_async_init");
  throw_on_uv_error(uv_timer_init(m_uv_loop.get(), &m_timer), "uv_timer_init");
  m_timer.data = this;
  m_backend_observer = kj::heap<kj::UnixEventPort::FdObserver>(m_async_io.unixEventPort, uv_backend_fd(m_uv_loop.get()),
                                                               kj::UnixEventPort::FdObserver::OBSERVE_READ);
}

EventLoop::~EventLoop() {
  m_backend_observer = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(&m_wakeup), nullptr);
  uv_close(reinterpret_cast<uv_handle_t*>(&m_timer), nullptr);
  for (int iteration = 0; iteration < kMaxClosingIterations; ++iteration) {
    run_uv_iteration();
    if (uv_loop_close(m_uv_loop.get()) == 0) {
      return;
    }
  }
  // Some user did not close a handle, which still points to the loop, so the loop's memory is leaked on purpose.
  static_cast<void>(m_uv_loop.release());
}

void EventLoop::run() {
  while (!m_stop_requested.exchange(false)) {
    run_uv_iteration();
    if (!m_stop_requested) {
      wait_for_events();
    }
  }
}

void EventLoop::stop() {
  m_stop_requested = true;
  uv_async_send(&m_wakeup);
}

void EventLoop::run_uv_iteration() {
  ++m_iteration_count;
  m_in_uv_iteration = true;
  uv_run(m_uv_loop.get(), UV_RUN_NOWAIT);
  m_in_uv_iteration = false;
}

void EventLoop::request_uv_iteration() {
  if (!m_in_uv_iteration) {
    uv_async_send(&m_wakeup);
  }
}

bool EventLoop::uv_has_pending_events() const {
  // The observer is edge-triggered and does not report events that libuv left pending in the last iteration.
  pollfd backend{uv_backend_fd(m_uv_loop.get()), POLLIN, 0};
  return poll(&backend, 1, 0) > 0;
}

void EventLoop::wait_for_events() {
  const int timeout = uv_backend_timeout(m_uv_loop.get());
  // The observer is armed before the descriptor is polled, so that an event between the two steps is not missed.
  kj::Promise<void> readable = m_backend_observer->whenBecomesReadable();
  if (timeout == 0 || uv_has_pending_events()) {
    m_async_io.waitScope.poll();
    return;
  }
  if (timeout > 0) {
    kj::Timer& timer = m_async_io.provider->getTimer();
    readable = readable.exclusiveJoin(timer.afterDelay(timeout * kj::MILLISECONDS));
  }
  readable.wait(m_async_io.waitScope);
}

void EventLoop::schedule(TimePoint at, std::function<void()> callback) {
  m_scheduled_at = at;
  m_scheduled_callback = std::move(callback);
  start_timer();
  request_uv_iteration();
}

void EventLoop::cancel_schedule() {
  m_scheduled_callback = nullptr;
  uv_timer_stop(&m_timer);
}

void EventLoop::start_timer() {
  const Duration left = std::max(m_scheduled_at - m_clock.now(), Duration::zero());
  const auto rounded_up = std::chrono::ceil<std::chrono::milliseconds>(left).count();
  uv_update_time(m_uv_loop.get());
  uv_timer_start(
      &m_timer, [](uv_timer_t* timer) { static_cast<EventLoop*>(timer->data)->on_timer(); },
      static_cast<std::uint64_t>(rounded_up), 0);
}

void EventLoop::on_timer() {
  // libuv's timers have a resolution of one millisecond and may fire up to one millisecond early.
  if (m_clock.now() < m_scheduled_at) {
    start_timer();
    return;
  }
  const std::function<void()> callback = std::exchange(m_scheduled_callback, nullptr);
  if (callback) {
    callback();
  }
}

}  // namespace teaselrudder
