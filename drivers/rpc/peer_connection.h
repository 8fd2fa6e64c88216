#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/refcount.h>

#include <cstdint>

#include "drivers/rpc/peer_schema.h"

namespace teaselrudder {

/// Returns the limits on a received message.
capnp::ReaderOptions peer_reader_options();

/// Makes the kernel detect a peer that disappeared without closing an idle connection, and sends without delay.
void set_peer_socket_options(kj::AsyncIoStream& stream);

/// An open connection to another host, shared by the calls that use it.
class PeerConnection : public kj::Refcounted {
 public:
  explicit PeerConnection(kj::Own<kj::AsyncIoStream> stream);

  /// The other host's interface.
  rpc::Peer::Client& peer() { return m_peer; }

  /// Resolves when the connection is closed by either side.
  kj::Promise<void> on_disconnect() { return m_network.onDisconnect(); }

  /// Bytes that wait to be sent.
  std::size_t queued_bytes() { return m_network.getCurrentQueueSize(); }

  /// Counts an answer, which shows that the connection is not silent.
  void count_answer() { ++m_answers; }

  /// Number of answers so far.
  std::uint64_t answers() const { return m_answers; }

 private:
  kj::Own<kj::AsyncIoStream> m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_system;
  rpc::Peer::Client m_peer;
  std::uint64_t m_answers = 0;
};

}  // namespace teaselrudder
