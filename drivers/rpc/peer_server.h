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

/// RPC server for calls from other hosts. It passes each call to a PeerEvents receiver as an event.
class PeerServer final : private kj::TaskSet::ErrorHandler {
 public:
  /// All references must outlive the server.
  PeerServer(kj::AsyncIoContext& io, const Clock& clock, const PeerRpcSettings& settings, Counters& counters);
  virtual ~PeerServer() noexcept;

  /// Sets the receiver of the calls. Must be called before listen().
  void set_events(PeerEvents& events) { m_events = &events; }

  /// Starts to accept connections. Returns the port, which the system chooses if `endpoint` has port 0, or a one-line
  /// error if the address is invalid or the system refuses to listen on it.
  tl::expected<std::uint16_t, std::string> listen(const Endpoint& endpoint);

  /// Sends the response to `call`. Does nothing if the call is not open, for example because its sender cancelled it.
  void answer(PeerCallId call, PeerResponse response);

 private:
  class Service;
  struct IncomingConnection;

  kj::Promise<void> accept_connections();
  void serve_connection(kj::Own<kj::AsyncIoStream> stream);
  template <typename Reply, typename Context>
  kj::Promise<void> handle_call(Context context);
  void on_call_released(PeerCallId call);
  void taskFailed(kj::Exception&& exception) override;

  kj::AsyncIoContext& m_io;
  const Clock& m_clock;
  const PeerRpcSettings& m_settings;
  Counters& m_counters;
  PeerEvents* m_events = nullptr;
  // Points to this object; the destructor sets it to null, because the RPC system may release calls after that.
  std::shared_ptr<PeerServer*> m_self;
  std::uint64_t m_last_call_id = 0;
  std::size_t m_open_connection_count = 0;
  std::unordered_map<PeerCallId, kj::Own<kj::PromiseFulfiller<PeerResponse>>> m_open_calls;
  rpc::Peer::Client m_service;
  kj::Own<kj::ConnectionReceiver> m_listener;
  kj::TaskSet m_event_tasks;
  kj::TaskSet m_connection_tasks;
};

}  // namespace teaselrudder
