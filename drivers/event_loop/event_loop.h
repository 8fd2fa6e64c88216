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

/// One event loop on one thread for users of KJ (Cap'n Proto RPC) and users of libuv (h2o, libpq).
///
/// KJ is the outer loop. It watches libuv's backend descriptor and honours libuv's next timeout, and each round runs
/// libuv once without blocking. All methods belong to the thread of the loop, except stop().
class EventLoop {
 public:
  /// Throws std::runtime_error if libuv cannot get its descriptors. `clock` must outlive the loop.
  explicit EventLoop(const Clock& clock);
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  /// Runs libuv until the handles that are being closed are gone; users close theirs before.
  ~EventLoop();

  /// The loop for users of libuv. Code that runs outside a callback of libuv, for example in a KJ continuation, calls
  /// request_round() after it has used libuv.
  uv_loop_t* uv_loop() { return m_uv_loop.get(); }

  /// The context for users of KJ.
  kj::AsyncIoContext& async_io() { return m_async_io; }

  /// Serves events until stop() is called.
  void run();

  /// Makes run() return after the present round. May be called from any thread and from a signal handler.
  void stop();

  /// Runs libuv once without blocking. For the orderly end of users whose handles close only in a round.
  void run_uv_round();

  /// Makes sure that libuv takes notice of what was started outside its callbacks. libuv registers descriptors and
  /// computes timeouts only in a round, and KJ may be about to block without one. Does nothing inside a round.
  void request_round();

  /// Calls `callback` once, not before `at`. A second call replaces the first, whether it was due or not.
  void schedule(TimePoint at, std::function<void()> callback);

  /// Cancels what schedule() asked for.
  void cancel_schedule();

  /// Returns how many rounds ran so far, so that tests detect a loop that spins.
  std::uint64_t rounds() const { return m_rounds; }

 private:
  void wait_for_work();
  bool uv_has_work() const;
  void start_timer();
  void on_timer();

  const Clock& m_clock;
  kj::AsyncIoContext m_async_io;
  std::unique_ptr<uv_loop_t> m_uv_loop;
  /// Keeps libuv's loop referenced, without which its timeout is always zero, and carries wake-ups.
  uv_async_t m_wakeup{};
  uv_timer_t m_timer{};
  kj::Own<kj::UnixEventPort::FdObserver> m_backend_observer;
  std::function<void()> m_scheduled;
  TimePoint m_scheduled_at{};
  std::atomic<bool> m_stopping{false};
  bool m_in_round = false;
  std::uint64_t m_rounds = 0;
};

}  // namespace teaselrudder
