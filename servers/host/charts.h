#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "core/chart/state_chart.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// States of misc/charts/upstream_connection.scxml.
enum class ConnectionState { kOpening, kIdle, kChecking, kBusy, kClosed };
/// Events of misc/charts/upstream_connection.scxml.
enum class ConnectionEvent { kOpened, kAcquired, kChecked, kReleased, kLost };

/// States of misc/charts/request.scxml. In kSettling, a write of unknown outcome is being resolved.
enum class RequestState { kRouting, kWaiting, kForwarded, kExecuting, kConfirming, kSettling, kFinished };
/// Events of misc/charts/request.scxml.
enum class RequestEvent { kRoute, kWait, kForward, kEnqueue, kConfirm, kSettle, kFinish };

/// States of misc/charts/planned_stop.scxml.
enum class StopState { kServing, kAnnouncing, kDraining, kStopped };
/// Events of misc/charts/planned_stop.scxml.
enum class StopEvent { kStopOrdered, kAnnounced, kDrained, kDeadlinePassed };

/// States of misc/charts/configuration_change.scxml.
enum class ChangeState { kReading, kSwapping, kResolving, kAccepted, kRefused, kUnknown };
/// Events of misc/charts/configuration_change.scxml.
enum class ChangeEvent { kBaseMatches, kAnswerLost, kStillUnchanged, kAccept, kRefuse, kGiveUp };

/// An instance of a state chart whose states and events are enumerations.
template <typename State, typename Event>
class ChartInstance {
 public:
  explicit ChartInstance(std::shared_ptr<const StateChart> chart)
      : m_chart(std::move(chart)), m_state(m_chart->initial()) {}

  /// Returns the current state.
  State state() const { return static_cast<State>(m_state.value()); }

  /// Applies `event`. Returns false if the state did not change.
  bool fire(Event event) {
    const ChartState next = m_chart->next(m_state, ChartEvent(static_cast<std::size_t>(event)));
    const bool moved = next != m_state;
    m_state = next;
    return moved;
  }

  /// Returns the name of the current state.
  const std::string& state_name() const { return m_chart->state_name(m_state); }

 private:
  std::shared_ptr<const StateChart> m_chart;
  ChartState m_state;
};

using ConnectionChart = ChartInstance<ConnectionState, ConnectionEvent>;
using RequestChart = ChartInstance<RequestState, RequestEvent>;
using ChangeChart = ChartInstance<ChangeState, ChangeEvent>;
using StopChart = ChartInstance<StopState, StopEvent>;

/// The state charts of a host, validated once and shared by all instances.
struct HostCharts {
  std::shared_ptr<const StateChart> connection;
  std::shared_ptr<const StateChart> request;
  std::shared_ptr<const StateChart> stop;
  std::shared_ptr<const StateChart> group;
  std::shared_ptr<const StateChart> change;
};

/// Provides the source text of charts.
class ChartSource {
 public:
  ChartSource() = default;
  ChartSource(const ChartSource&) = delete;
  ChartSource& operator=(const ChartSource&) = delete;
  virtual ~ChartSource() = default;

  /// Returns the source text of the chart `name`, or an empty string if there is none.
  virtual std::string chart_text(std::string_view name) const = 0;
};

/// Provides the charts that are compiled into the program.
class CompiledChartSource : public ChartSource {
 public:
  std::string chart_text(std::string_view name) const override;
};

/// Loads and validates all charts. The error names the invalid chart and what is wrong with it.
tl::expected<HostCharts, std::string> load_host_charts(const ChartSource& source);

}  // namespace teaselrudder
