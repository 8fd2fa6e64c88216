#include "servers/host/planned_stop.h"

#include <algorithm>

namespace teaselrudder {

namespace {

// Interval at which a draining host checks whether requests or transactions are still open.
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);

}  // namespace

PlannedStop::PlannedStop(HostContext& context) : m_context(context), m_chart(context.charts.stop) {}

void PlannedStop::start(std::string cause, TimePoint now) {
  if (!m_chart.fire(StopEvent::kStopOrdered)) {
    return;
  }
  m_announced_at = now + m_context.settings.stop_announcement;
  m_deadline = now + m_context.settings.stop_timeout;
  m_context.ports.log.log_state_change("planned_stop", {{"state", m_chart.state_name()}, {"cause", std::move(cause)}});
}

void PlannedStop::on_tick(std::size_t open_work, TimePoint now) {
  m_next_poll = now + kDrainPollInterval;
  if (m_chart.state() == StopState::kAnnouncing && now >= m_announced_at) {
    enter(StopEvent::kAnnounced, open_work);
  }
  if (m_chart.state() == StopState::kDraining && open_work == 0) {
    enter(StopEvent::kDrained, open_work);
  }
  const bool running = m_chart.state() == StopState::kAnnouncing || m_chart.state() == StopState::kDraining;
  if (running && now >= m_deadline) {
    m_unfinished_work = open_work;
    enter(StopEvent::kDeadlinePassed, open_work);
  }
}

std::optional<TimePoint> PlannedStop::next_wakeup() const {
  switch (m_chart.state()) {
    case StopState::kAnnouncing:
      return std::min(m_announced_at, m_deadline);
    case StopState::kDraining:
      return std::min(m_next_poll, m_deadline);
    case StopState::kServing:
    case StopState::kStopped:
      return std::nullopt;
  }
  return std::nullopt;
}

bool PlannedStop::admits() const {
  return m_chart.state() == StopState::kServing || m_chart.state() == StopState::kAnnouncing;
}

void PlannedStop::enter(StopEvent event, std::size_t open_work) {
  m_chart.fire(event);
  m_context.ports.log.log_state_change("planned_stop",
                                       {{"state", m_chart.state_name()}, {"open_work", std::to_string(open_work)}});
}

}  // namespace teaselrudder
