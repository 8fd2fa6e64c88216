#pragma once

#include <uv.h>

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "core/metrics/counters.h"
#include "drivers/event_loop/clock.h"
#include "drivers/event_loop/event_loop.h"
#include "drivers/http/caller_server.h"
#include "drivers/http/operator_server.h"
#include "main/host_runtime.h"
#include "main/settings.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Exit codes of teaselrudderd, the daemon.
inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadSettings = 2;

/// The daemon process of an entry host: event loop, HTTP servers, signal handling and the graceful stop.
///
/// SIGTERM or SIGINT starts the graceful stop: `GET /healthz` answers 503, the host completes its open requests, the
/// servers close their connections, and run() returns. A second signal or the stop timeout ends the process at once.
class Daemon {
 public:
  explicit Daemon(Settings settings);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  /// Creates the host, starts to listen, and writes the ports to `out` as one line `ready caller=N peer=N operator=N`.
  /// The error message is a single line.
  tl::expected<void, std::string> start(const HostFactory& factory, std::ostream& out);

  /// Runs the event loop until the daemon has stopped. Returns true if the stop was graceful, and false after a second
  /// signal or the stop timeout.
  bool run();

 private:
  void watch_signal(uv_signal_t& handle, int signal_number);
  void on_signal(int signal_number);
  void begin_stop(int signal_number);
  void on_host_stopped();
  void on_server_drained();
  void finish(bool graceful, const std::string& cause);
  void close_handles();

  const Settings m_settings;
  const SteadyClock m_clock;
  Counters m_counters;
  // Declared before the event loop, so that the handles still exist when its destructor finishes closing them.
  uv_signal_t m_sigterm_handle{};
  uv_signal_t m_sigint_handle{};
  uv_timer_t m_stop_timer{};
  uv_timer_t m_idle_close_timer{};
  EventLoop m_loop;
  CallerServer m_caller_server;
  OperatorServer m_operator_server;
  std::unique_ptr<HostRuntime> m_host;
  bool m_stopping = false;
  bool m_graceful = false;
  int m_undrained_servers = 2;
};

/// Runs the daemon and returns its exit code. `arguments` excludes the program's name.
int run_daemon(const std::vector<std::string>& arguments, const Environment& environment, const HostFactory& factory,
               std::ostream& out, std::ostream& err);

}  // namespace teaselrudder
