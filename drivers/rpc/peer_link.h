#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "core/metrics/counters.h"
#include "core/ports/peer_port.h"
#include "drivers/net/socket_address.h"
#include "drivers/rpc/peer_connection.h"
#include "drivers/rpc/peer_settings.h"

namespace teaselrudder {

/// RPC client for one other host. All calls share a single connection, which is kept open between calls.
///
/// A call connects if no connection is open. After a failed connection attempt, calls fail immediately until the
/// reconnect delay has passed, so that the caller can try another host without waiting.
class PeerLink {
 public:
  using Outcome = tl::expected<PeerResponse, PeerError>;

  /// All references must outlive this object.
  PeerLink(kj::AsyncIoContext& io, const Endpoint& peer, const PeerRpcSettings& settings, std::mt19937_64& random,
           Counters& counters);

  /// Sends `request` to the peer. The returned promise is never rejected; it resolves with the response or an error
  /// after `timeout` at the latest.
  kj::Promise<Outcome> call(PeerRequest request, Duration timeout);

  /// Returns true if there is neither a connection nor an open call, so that this object can be destroyed.
  bool is_idle() const { return m_open_calls == 0 && !m_connecting && m_connection.get() == nullptr; }

 private:
  // State of one call, which on_timeout() uses to tell a slow call from an unresponsive connection.
  struct CallState {
    kj::Own<PeerConnection> connection;
    std::uint64_t answer_count_when_sent = 0;
  };

  kj::Promise<kj::Own<PeerConnection>> get_connection();
  std::optional<std::string> find_reason_not_to_connect();
  void start_connecting();
  void on_connected(kj::Own<kj::AsyncIoStream> stream);
  void on_disconnected(std::uint64_t generation);
  void start_reconnect_delay();
  kj::Promise<Outcome> send(CallState& state, kj::Own<PeerConnection> connection, const PeerRequest& request);
  template <typename Params, typename Results>
  kj::Promise<Outcome> dispatch(capnp::Request<Params, Results> call, kj::Own<PeerConnection> connection);
  Outcome on_answer(PeerConnection& connection, tl::expected<PeerResponse, struct PeerCodecError> decoded);
  Outcome on_call_failed(PeerConnection& connection, const kj::Exception& exception);
  Outcome on_timeout(const CallState& state);

  kj::AsyncIoContext& m_io;
  std::optional<SocketAddress> m_address;
  const PeerRpcSettings& m_settings;
  std::mt19937_64& m_random;
  Counters& m_counters;
  kj::Own<PeerConnection> m_connection;
  // Number of the current connection. A late disconnect event of an earlier connection must not drop the current one.
  std::uint64_t m_connection_generation = 0;
  kj::Promise<void> m_disconnect_watch = nullptr;
  bool m_connecting = false;
  kj::ForkedPromise<void> m_connect_attempt = nullptr;
  std::size_t m_waiting_calls = 0;
  std::size_t m_open_calls = 0;
  unsigned m_consecutive_failures = 0;
  kj::TimePoint m_next_attempt_at;
};

}  // namespace teaselrudder
