#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "servers/host/host_context.h"

namespace teaselrudder {

/// Graceful shutdown of a host: the health check fails first, then admission ends, then running work finishes.
class PlannedStop {
 public:
  explicit PlannedStop(HostContext& context);

  /// Orders the stop. A second order changes nothing.
  void order(std::string cause, TimePoint now);

  /// Advances the stop; `open_work` is the number of requests and transactions that have not ended.
  void on_tick(std::size_t open_work, TimePoint now);

  /// Returns when on_tick() is due next, if a stop runs.
  std::optional<TimePoint> next_wakeup() const;

  /// Tells whether the health check passes.
  bool healthy() const { return m_chart.state() == StopState::kServing; }

  /// Tells whether new requests are taken.
  bool admits() const;

  /// Tells whether the process may end.
  bool stopped() const { return m_chart.state() == StopState::kStopped; }

  /// Returns the name of the present state.
  const std::string& state_name() const { return m_chart.state_name(); }

  /// Returns the requests and transactions that were cut off when the time ran out.
  std::size_t work_left() const { return m_work_left; }

 private:
  void enter(StopEvent event, std::size_t open_work);

  HostContext& m_context;
  StopChart m_chart;
  TimePoint m_announced_at;
  TimePoint m_deadline;
  TimePoint m_next_poll;
  std::size_t m_work_left = 0;
};

}  // namespace teaselrudder
