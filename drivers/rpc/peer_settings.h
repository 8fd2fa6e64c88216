#pragma once

#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace teaselrudder {

/// Limits and timeouts of the RPC between hosts.
struct PeerRpcSettings {
  /// Timeout of a connection attempt. The round trip between hosts takes at most a few milliseconds.
  Duration connect_timeout = std::chrono::milliseconds(400);
  /// Delay after the first failed attempt. The delay doubles with each further failure up to `max_reconnect_delay`, and
  /// the actual delay is chosen at random between half of this value and all of it.
  Duration min_reconnect_delay = std::chrono::milliseconds(50);
  Duration max_reconnect_delay = std::chrono::seconds(1);
  /// Maximum number of calls that wait until the connection to one peer is established.
  std::size_t max_waiting_calls = 1024;
  /// Maximum number of bytes that are queued in memory for sending to one peer.
  std::size_t max_queued_bytes = std::size_t{16} << 20;
  /// Maximum number of open connections from other hosts. It is far above the number of hosts, because a peer that
  /// replaces an unresponsive connection has more than one open for a while.
  std::size_t max_incoming_connections = 4096;
  /// Maximum number of calls from other hosts that have no response yet.
  std::size_t max_incoming_calls = 16384;
  /// Maximum size in bytes of the calls without a response on one incoming connection. Above it the server stops
  /// reading from the connection.
  std::size_t max_incoming_bytes = std::size_t{8} << 20;
  /// Seed of the random numbers that vary the reconnect delay.
  std::uint64_t seed = 0;
};

}  // namespace teaselrudder
