#pragma once

#include <string>
#include <vector>

#include "core/chart/state_chart.h"

namespace teaselrudder {

/// States of a database group as one of its owners sees it, in the order of group_state_names().
enum class GroupState {
  kDiscovering,  // Since the start no primary has been detected, and it is not yet known that there is none.
  kLed,          // A primary is known and sends reports.
  kAsking,       // The primary is suspected to be down or there is none; the other owners are asked to confirm this.
  kWaiting,      // A failover attempt starts after a random delay.
  kRaising,      // The members have been asked to grant a new term.
  kPromoting,    // A member was ordered to become the primary.
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
