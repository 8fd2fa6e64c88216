#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/strong_type.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Index of a state in its chart.
using ChartState = StrongType<struct ChartStateTag, std::size_t>;

/// Index of an event in the list that the chart was loaded with.
using ChartEvent = StrongType<struct ChartEventTag, std::size_t>;

/// A state chart read from a subset of SCXML: `<state>` and `<final>` elements with `<transition event target>`.
///
/// A transition without a target ignores its event. Loading fails unless every state is reachable, every target exists
/// and every state that is not final handles or ignores every event.
class StateChart {
 public:
  /// Parses `document`, the SCXML text of the chart `name`. `states` and `events` are the names of the C++ enumerators,
  /// in the order of their enumerations; the chart must define exactly these states and use no other events. The error
  /// is one line that starts with the name of the chart.
  static tl::expected<StateChart, std::string> load(std::string_view name, std::string_view document,
                                                    const std::vector<std::string>& states,
                                                    const std::vector<std::string>& events);

  /// Returns the initial state.
  ChartState initial() const { return m_initial; }

  /// Returns the state after `event` in `state`; the same state if the event is ignored there.
  ChartState next(ChartState state, ChartEvent event) const { return m_targets[state.value()][event.value()]; }

  /// Tells whether `state` is final.
  bool is_final(ChartState state) const { return m_final[state.value()]; }

  /// Returns the name of `state`.
  const std::string& state_name(ChartState state) const { return m_states[state.value()]; }

 private:
  std::vector<std::string> m_states;
  // Next state, indexed by [state][event].
  std::vector<std::vector<ChartState>> m_targets;
  std::vector<bool> m_final;
  ChartState m_initial;
};

}  // namespace teaselrudder
