#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/refcount.h>

#include <cstdint>

#include "drivers/rpc/peer_schema.h"

namespace teaselrudder {

/// Returns the Cap'n Proto limits for received messages.
capnp::ReaderOptions peer_reader_options();

/// Enables TCP keepalive, so that a peer that vanished without closing an idle connection is detected, and disables
/// Nagle's algorithm.
void set_peer_socket_options(kj::AsyncIoStream& stream);

/// An established RPC connection to another host. The calls that use it share it by reference counting.
class PeerConnection : public kj::Refcounted {
 public:
  explicit PeerConnection(kj::Own<kj::AsyncIoStream> stream);

  /// Returns the RPC interface of the other host.
  rpc::Peer::Client& peer() { return m_peer; }

  /// Returns a promise that resolves when either side closes the connection.
  kj::Promise<void> on_disconnect() { return m_network.onDisconnect(); }

  /// Returns the number of bytes that are queued for sending.
  std::size_t queued_bytes() { return m_network.getCurrentQueueSize(); }

  /// Records that a response arrived.
  void count_answer() { ++m_answer_count; }

  /// Returns the number of responses received so far. A count that stays the same shows an unresponsive connection.
  std::uint64_t answer_count() const { return m_answer_count; }

 private:
  kj::Own<kj::AsyncIoStream> m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_system;
  rpc::Peer::Client m_peer;
  std::uint64_t m_answer_count = 0;
};

}  // namespace teaselrudder
