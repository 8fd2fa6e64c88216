#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/metrics/counters.h"
#include "core/ports/peer_port.h"
#include "drivers/event_loop/clock.h"
#include "drivers/rpc/peer_schema.h"
#include "drivers/rpc/peer_settings.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Accepts connections of other hosts and turns their calls into events.
class PeerServer final : private kj::TaskSet::ErrorHandler {
 public:
  /// All references must outlive the server.
  PeerServer(kj::AsyncIoContext& io, const Clock& clock, const PeerRpcSettings& settings, Counters& counters);
  virtual ~PeerServer() noexcept;

  /// Names the receiver of the calls. Must be called before listen().
  void set_events(PeerEvents& events) { m_events = &events; }

  /// Starts to accept connections and returns the port, which the system chooses if `endpoint` has port 0.
  tl::expected<std::uint16_t, std::string> listen(const Endpoint& endpoint);

  /// Answers an open call; an answer to any other call is dropped.
  void answer(PeerCallId call, PeerResponse response);

 private:
  class Service;
  struct Incoming;

  kj::Promise<void> accept_connections();
  void serve(kj::Own<kj::AsyncIoStream> stream);
  template <typename Reply, typename Context>
  kj::Promise<void> handle_as(Context context);
  void on_call_dropped(PeerCallId call);
  void taskFailed(kj::Exception&& exception) override;

  kj::AsyncIoContext& m_io;
  const Clock& m_clock;
  const PeerRpcSettings& m_settings;
  Counters& m_counters;
  PeerEvents* m_events = nullptr;
  // Points to this object and is cleared by its destructor: the RPC system may release calls later than that.
  std::shared_ptr<PeerServer*> m_self;
  std::uint64_t m_last_call = 0;
  std::size_t m_connection_count = 0;
  std::unordered_map<PeerCallId, kj::Own<kj::PromiseFulfiller<PeerResponse>>> m_calls;
  rpc::Peer::Client m_service;
  kj::Own<kj::ConnectionReceiver> m_receiver;
  kj::TaskSet m_event_tasks;
  kj::TaskSet m_connections;
};

}  // namespace teaselrudder
