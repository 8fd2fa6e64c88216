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

/// The calls to one other host and the one cached connection that carries them.
///
/// A call opens the connection if there is none. After a failed attempt, calls fail at once until the reconnect delay
/// has passed, so that their senders can turn to another host without waiting.
class PeerLink {
 public:
  using Outcome = tl::expected<PeerResponse, PeerError>;

  /// All references must outlive the link.
  PeerLink(kj::AsyncIoContext& io, const Endpoint& peer, const PeerRpcSettings& settings, std::mt19937_64& random,
           Counters& counters);

  /// Calls the peer. The promise is never rejected and resolves after `timeout` at the latest.
  kj::Promise<Outcome> call(PeerRequest request, Duration timeout);

  /// True if the link has neither a connection nor a call and can be forgotten.
  bool is_idle() const { return m_calls == 0 && !m_connecting && m_connection.get() == nullptr; }

 private:
  // What a call needs to know when it times out.
  struct CallState {
    kj::Own<PeerConnection> connection;
    std::uint64_t answers_when_sent = 0;
  };

  kj::Promise<kj::Own<PeerConnection>> connected();
  std::optional<std::string> reason_not_to_connect();
  void start_connecting();
  void on_connected(kj::Own<kj::AsyncIoStream> stream);
  void on_disconnected(std::uint64_t generation);
  void delay_reconnect();
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
  // Distinguishes successive connections; the end of an earlier one must not drop its successor.
  std::uint64_t m_generation = 0;
  kj::Promise<void> m_disconnect_watch = nullptr;
  bool m_connecting = false;
  kj::ForkedPromise<void> m_attempt = nullptr;
  std::size_t m_waiting = 0;
  std::size_t m_calls = 0;
  unsigned m_failures = 0;
  kj::TimePoint m_retry_at;
};

}  // namespace teaselrudder
