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

/// Settings of one host. The program that reads them has validated them.
struct HostSettings {
  HostRecord self;
  /// Key that authenticates session tokens and transaction handles; must be the same on all hosts.
  std::string token_key;
  std::uint64_t random_seed = 0;
  /// Prefix of this system's keys in the platform's store.
  std::string store_prefix = "/teaselrudder";
  GroupTimings group_timings;
  HostTableTimings host_table_timings;
  PoolLimits pool_limits;
  /// Maximum number of requests that wait in the queue of one member.
  std::uint32_t max_queue = 512;
  /// Maximum number of connections to a member that this host does not own.
  std::uint32_t reserve_connections = 2;
  /// Time for which a read waits for a replica that is recent enough before it goes to the primary.
  Duration replica_wait = std::chrono::milliseconds(30);
  /// Time without an answer after which the connection of a read is given up. Statements that are known to take longer
  /// get more time, and writes get at least half of the time that is left until their deadline.
  Duration min_answer_timeout = std::chrono::seconds(1);
  /// Time without a step after which an open transaction is rolled back.
  Duration transaction_idle_timeout = std::chrono::seconds(30);
  /// Time for which a planned stop still admits requests after the health check has begun to fail.
  Duration stop_announcement = std::chrono::seconds(2);
  /// Time after which a planned stop ends although requests or transactions are still open.
  Duration stop_timeout = std::chrono::seconds(30);
};

/// Interfaces through which a host acts on the outside. The objects must outlive the host.
struct HostPorts {
  CallerPort& callers;
  UpstreamPort& upstreams;
  PeerPort& peers;
  StorePort& store;
  HostListPort& host_list;
  OperatorPort& operators;
  EventLogPort& log;
};

/// State and interfaces that all parts of a host share.
struct HostContext {
  HostSettings settings;
  HostPorts ports;
  HostCharts charts;
  Counters& counters;
  IdSource ids;
  RandomSequence random;
};

}  // namespace teaselrudder
