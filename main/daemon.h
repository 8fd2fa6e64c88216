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

/// Exit codes of the daemon.
inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadSettings = 2;

/// The process of an entry host: event loop, servers, signals and the graceful stop.
///
/// SIGTERM or SIGINT begins the graceful stop: `GET /healthz` answers 503, the host finishes what is open, the servers
/// close their connections, and run() returns. A second signal, or the end of the stop timeout, ends it at once.
class Daemon {
 public:
  explicit Daemon(Settings settings);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  /// Creates the host, listens, and writes the ports that were chosen as one line `ready caller=N peer=N operator=N`.
  /// The error is one line.
  tl::expected<void, std::string> start(const HostFactory& factory, std::ostream& out);

  /// Serves until the end of a stop. Returns true if it was graceful.
  bool run();

 private:
  void watch_signal(uv_signal_t& handle, int number);
  void on_signal(int number);
  void begin_stop(int number);
  void on_host_stopped();
  void on_server_drained();
  void end(bool graceful, const std::string& cause);
  void close_handles();

  const Settings m_settings;
  const SteadyClock m_clock;
  Counters m_counters;
  // Declared before the loop, whose destructor lets go of them.
  uv_signal_t m_terminate{};
  uv_signal_t m_interrupt{};
  uv_timer_t m_stop_timeout{};
  uv_timer_t m_linger{};
  EventLoop m_loop;
  CallerServer m_caller_server;
  OperatorServer m_operator_server;
  std::unique_ptr<HostRuntime> m_host;
  bool m_stopping = false;
  bool m_graceful = false;
  int m_servers_left = 2;
};

/// Runs the daemon with the arguments after the program's name and returns its exit code.
int run_daemon(const std::vector<std::string>& arguments, const Environment& environment, const HostFactory& factory,
               std::ostream& out, std::ostream& err);

}  // namespace teaselrudder
