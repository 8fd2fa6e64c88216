#include "drivers/rpc/peer_connection.h"

#include <capnp/message.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "drivers/rpc/peer_codec.h"

namespace teaselrudder {

namespace {

// TCP keepalive detects a peer that vanished without closing the connection after idle + probes * interval = 19 s.
constexpr int kKeepaliveIdleSeconds = 10;
constexpr int kKeepaliveIntervalSeconds = 3;
constexpr int kKeepaliveProbes = 3;

void set_option(kj::AsyncIoStream& stream, int level, int option, int value) {
  stream.setsockopt(level, option, &value, sizeof(value));
}

rpc::Peer::Client get_peer_interface(capnp::RpcSystem<capnp::rpc::twoparty::VatId>& system) {
  capnp::MallocMessageBuilder message;
  auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
  vat.setSide(capnp::rpc::twoparty::Side::SERVER);
  return system.bootstrap(vat).castAs<rpc::Peer>();
}

}  // namespace

capnp::ReaderOptions peer_reader_options() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = (kMaxPeerMessageBytes + kPeerFramingBytes) / sizeof(capnp::word);
  return options;
}

void set_peer_socket_options(kj::AsyncIoStream& stream) {
  set_option(stream, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(stream, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  set_option(stream, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  set_option(stream, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
}

PeerConnection::PeerConnection(kj::Own<kj::AsyncIoStream> stream)
    : m_stream(kj::mv(stream)),
      m_network(*m_stream, capnp::rpc::twoparty::Side::CLIENT, peer_reader_options()),
      m_system(capnp::makeRpcClient(m_network)),
      m_peer(get_peer_interface(m_system)) {}

}  // namespace teaselrudder
