#pragma once

#include <string>
#include <vector>

#include "core/chart/state_chart.h"

namespace teaselrudder {

/// States of a database group as its owner sees it, in the order of group_state_names().
enum class GroupState {
  kDiscovering,  // No member has been recognised as the primary since the start, and none is missed yet.
  kLed,          // A primary is recognised and reports.
  kAsking,       // The primary is suspected or absent; the other owners are asked.
  kWaiting,      // A failover attempt is due after its jitter.
  kRaising,      // A new term is being raised.
  kPromoting,    // A member was ordered to promote itself.
};

/// Events of a database group, in the order of group_event_names().
enum class GroupEvent {
  kPrimarySeen,
  kPrimaryLost,
  kSuspicionConfirmed,
  kSuspicionRejected,
  kJitterOver,
  kMajorityGranted,
  kAttemptFailed,
};

/// Names of the states in misc/charts/database_group.scxml.
const std::vector<std::string>& group_state_names();

/// Names of the events in misc/charts/database_group.scxml.
const std::vector<std::string>& group_event_names();

constexpr ChartState to_chart(GroupState state) { return ChartState(static_cast<std::size_t>(state)); }
constexpr ChartEvent to_chart(GroupEvent event) { return ChartEvent(static_cast<std::size_t>(event)); }
constexpr GroupState to_group_state(ChartState state) { return static_cast<GroupState>(state.value()); }

}  // namespace teaselrudder
