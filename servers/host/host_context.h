#pragma once

#include <string>

#include "core/metrics/counters.h"
#include "core/metrics/latency_histogram.h"
#include "core/ports/caller_port.h"
#include "core/ports/event_log_port.h"
#include "core/ports/host_list_port.h"
#include "core/ports/operator_port.h"
#include "core/ports/peer_port.h"
#include "core/ports/store_port.h"
#include "core/ports/upstream_port.h"
#include "core/random_sequence.h"
#include "servers/group/group_action.h"
#include "servers/host/charts.h"
#include "servers/host/connection_pool.h"
#include "servers/host/id_source.h"
#include "servers/membership/host_table.h"

namespace teaselrudder {

/// Settings of one host, checked by the program that reads them.
struct HostSettings {
  HostRecord self;
  /// Key of session tokens and transaction handles; the same on all hosts.
  std::string token_key;
  std::uint64_t random_seed = 0;
  /// Prefix of this system's keys in the platform's store.
  std::string store_prefix = "/teaselrudder";
  GroupTimings group_timings;
  HostTableTimings host_table_timings;
  PoolLimits pool_limits;
  /// Requests that may wait in the queue of one member.
  std::uint32_t max_queue = 512;
  /// Connections to a member that a host may hold without owning it.
  std::uint32_t reserve_connections = 2;
  /// Time that a read waits for a replica before it takes a slot of the primary.
  Duration replica_wait = std::chrono::milliseconds(30);
  /// Time after which a read's connection counts as silent, unless such reads are known to take longer.
  Duration silent_after = std::chrono::seconds(1);
  /// Time for which an open transaction may be idle.
  Duration transaction_idle_timeout = std::chrono::seconds(30);
  /// Time between the failing health check and the end of admission in a planned stop.
  Duration stop_announcement = std::chrono::seconds(2);
  /// Time after which a planned stop gives up what still runs.
  Duration stop_timeout = std::chrono::seconds(30);
};

/// The outside of a host.
struct HostPorts {
  CallerPort& callers;
  UpstreamPort& upstreams;
  PeerPort& peers;
  StorePort& store;
  HostListPort& host_list;
  OperatorPort& operators;
  EventLogPort& log;
};

/// What all parts of a host share.
struct HostContext {
  HostSettings settings;
  HostPorts ports;
  HostCharts charts;
  Counters& counters;
  IdSource ids;
  RandomSequence random;
};

}  // namespace teaselrudder
