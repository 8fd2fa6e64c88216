#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "servers/host/host_context.h"

namespace teaselrudder {

/// Graceful shutdown of a host. First the health check fails while requests are still admitted, then new requests are
/// rejected while the open ones finish, and then the process may end.
class PlannedStop {
 public:
  explicit PlannedStop(HostContext& context);

  /// Starts the stop. Has no effect if it was started before. `cause` is written to the log.
  void start(std::string cause, TimePoint now);

  /// Enters the next state if it is due. `open_work` is the number of requests and transactions that have not ended.
  void on_tick(std::size_t open_work, TimePoint now);

  /// Returns when on_tick() is due next, or nothing if no stop is in progress.
  std::optional<TimePoint> next_wakeup() const;

  /// Returns whether the health check passes.
  bool healthy() const { return m_chart.state() == StopState::kServing; }

  /// Returns whether new requests are admitted.
  bool admits() const;

  /// Returns whether the process may end.
  bool stopped() const { return m_chart.state() == StopState::kStopped; }

  /// Returns the name of the current state.
  const std::string& state_name() const { return m_chart.state_name(); }

  /// Returns the number of requests and transactions that were still open when HostSettings::stop_timeout ended the
  /// stop.
  std::size_t unfinished_work() const { return m_unfinished_work; }

 private:
  void enter(StopEvent event, std::size_t open_work);

  HostContext& m_context;
  StopChart m_chart;
  TimePoint m_announced_at;
  TimePoint m_deadline;
  TimePoint m_next_poll;
  std::size_t m_unfinished_work = 0;
};

}  // namespace teaselrudder
