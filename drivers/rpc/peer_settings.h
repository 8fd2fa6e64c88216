#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace teaselrudder {

/// Bounds and times of the RPC between hosts.
struct PeerRpcSettings {
  /// A connection attempt that takes longer has failed. Hosts are at most a few milliseconds apart.
  Duration connect_timeout = std::chrono::milliseconds(400);
  /// Delay after the first failed attempt. It doubles with each further failure, and half of it is random.
  Duration min_reconnect_delay = std::chrono::milliseconds(50);
  Duration max_reconnect_delay = std::chrono::seconds(1);
  /// Calls that wait for the connection to one peer.
  std::size_t max_waiting_calls = 1024;
  /// Bytes that wait in memory to be sent to one peer.
  std::size_t max_queued_bytes = std::size_t{16} << 20;
  /// Connections of other hosts. Far above the fleet's size, because peers replace silent connections.
  std::size_t max_incoming_connections = 4096;
  /// Unanswered calls of other hosts.
  std::size_t max_incoming_calls = 16384;
  /// Bytes of unanswered calls on one incoming connection; beyond it the connection is not read.
  std::size_t max_incoming_bytes = std::size_t{8} << 20;
  /// Seed of the jitter.
  std::uint64_t seed = 0;
};

}  // namespace teaselrudder
