#pragma once

#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <uv.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

#include "core/time.h"
#include "drivers/event_loop/clock.h"

namespace teaselrudder {

/// Runs a KJ event loop (for Cap'n Proto RPC) and a libuv event loop (for h2o and libpq) together on one thread.
///
/// KJ's loop is the outer one and the only one that blocks. It waits for KJ events, for libuv's backend descriptor and
/// for libuv's next timeout; each iteration then runs libuv once without blocking. All methods except stop() must be
/// called on the thread of the loop.
class EventLoop {
 public:
  /// Throws std::runtime_error if libuv cannot create its file descriptors. `clock` must outlive the loop.
  explicit EventLoop(const Clock& clock);
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  /// Runs libuv until all handles are closed. Users must have started to close their handles before.
  ~EventLoop();

  /// Returns the libuv loop. Code that uses it outside of a libuv callback, for example in a KJ continuation, must call
  /// request_uv_iteration() afterwards.
  uv_loop_t* uv_loop() { return m_uv_loop.get(); }

  /// Returns the KJ context.
  kj::AsyncIoContext& async_io() { return m_async_io; }

  /// Processes events until stop() is called.
  void run();

  /// Makes run() return after the current iteration. May be called from any thread and from a signal handler.
  void stop();

  /// Runs libuv once without blocking. Destructors call this to have libuv close their handles.
  void run_uv_iteration();

  /// Makes the loop run libuv again soon. Required after starting a libuv operation outside of a libuv callback: libuv
  /// registers descriptors and computes timeouts only within an iteration, and KJ could block before the next one. Does
  /// nothing within an iteration of libuv.
  void request_uv_iteration();

  /// Calls `callback` once, not before `at`. A later call of this method replaces a callback that has not run yet.
  void schedule(TimePoint at, std::function<void()> callback);

  /// Cancels the scheduled callback, if any.
  void cancel_schedule();

  /// Returns how many libuv iterations ran so far. Tests use it to detect a busy loop.
  std::uint64_t iteration_count() const { return m_iteration_count; }

 private:
  void wait_for_events();
  bool uv_has_pending_events() const;
  void start_timer();
  void on_timer();

  const Clock& m_clock;
  kj::AsyncIoContext m_async_io;
  std::unique_ptr<uv_loop_t> m_uv_loop;
  /// Wakes the loop. It also keeps libuv's loop alive: without an active handle its timeout would always be zero.
  uv_async_t m_wakeup{};
  uv_timer_t m_timer{};
  kj::Own<kj::UnixEventPort::FdObserver> m_backend_observer;
  std::function<void()> m_scheduled_callback;
  TimePoint m_scheduled_at{};
  std::atomic<bool> m_stop_requested{false};
  bool m_in_uv_iteration = false;
  std::uint64_t m_iteration_count = 0;
};

}  // namespace teaselrudder
