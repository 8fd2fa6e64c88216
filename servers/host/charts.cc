#include "servers/host/charts.h"

#include "core/chart/compiled_charts.h"
#include "servers/group/group_state.h"

namespace teaselrudder {

namespace {

using Names = std::vector<std::string>;

const Names& connection_states() {
  static const Names names = {"opening", "idle", "checking", "busy", "closed"};
  return names;
}

const Names& connection_events() {
  static const Names names = {"opened", "acquired", "checked", "released", "lost"};
  return names;
}

const Names& request_states() {
  static const Names names = {"routing", "waiting", "forwarded", "executing", "confirming", "settling", "finished"};
  return names;
}

const Names& request_events() {
  static const Names names = {"route", "wait", "forward", "enqueue", "confirm", "settle", "finish"};
  return names;
}

const Names& stop_states() {
  static const Names names = {"serving", "announcing", "draining", "stopped"};
  return names;
}

const Names& stop_events() {
  static const Names names = {"stop_ordered", "announced", "drained", "deadline_passed"};
  return names;
}

const Names& change_states() {
  static const Names names = {"reading", "swapping", "resolving", "accepted", "refused", "unknown"};
  return names;
}

const Names& change_events() {
  static const Names names = {"base_matches", "answer_lost", "still_unchanged", "accept", "refuse", "give_up"};
  return names;
}

// Loads the chart `name` into `target`. Returns an error if it is invalid.
std::optional<std::string> load_chart(std::shared_ptr<const StateChart>& target, const ChartSource& source,
                                      std::string_view name, const Names& states, const Names& events) {
  auto chart = StateChart::load(name, source.chart_text(name), states, events);
  if (!chart.has_value()) {
    return chart.error();
  }
  target = std::make_shared<const StateChart>(std::move(*chart));
  return std::nullopt;
}

}  // namespace

std::string CompiledChartSource::chart_text(std::string_view name) const { return std::string(compiled_chart(name)); }

tl::expected<HostCharts, std::string> load_host_charts(const ChartSource& source) {
  HostCharts charts;
  auto error = load_chart(charts.connection, source, "upstream_connection", connection_states(), connection_events());
  if (!error.has_value()) {
    error = load_chart(charts.request, source, "request", request_states(), request_events());
  }
  if (!error.has_value()) {
    error = load_chart(charts.stop, source, "planned_stop", stop_states(), stop_events());
  }
  if (!error.has_value()) {
    error = load_chart(charts.group, source, "database_group", group_state_names(), group_event_names());
  }
  if (!error.has_value()) {
    error = load_chart(charts.change, source, "configuration_change", change_states(), change_events());
  }
  if (error.has_value()) {
    return tl::unexpected(*error);
  }
  return charts;
}

}  // namespace teaselrudder
