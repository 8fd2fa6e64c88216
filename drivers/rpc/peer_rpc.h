#pragma once

#include <kj/async-io.h>

#include <map>
#include <memory>
#include <random>
#include <string>

#include "core/metrics/counters.h"
#include "core/ports/peer_port.h"
#include "drivers/event_loop/clock.h"
#include "drivers/rpc/peer_link.h"
#include "drivers/rpc/peer_server.h"
#include "drivers/rpc/peer_settings.h"

namespace teaselrudder {

/// Implements PeerPort with Cap'n Proto RPC over TCP, on a KJ event loop.
///
/// Events are delivered from the event loop only, never from inside call() or answer(). The destructor
/// delivers no events.
class PeerRpc final : public PeerPort, private kj::TaskSet::ErrorHandler {
 public:
  /// `io`, `clock` and `counters` must outlive the object, and so must the event loop of `io`.
  PeerRpc(kj::AsyncIoContext& io, const Clock& clock, const PeerRpcSettings& settings, Counters& counters);

  ~PeerRpc() noexcept override;

  /// Sets the receiver of all events. Must be called before any other method.
  void set_events(PeerEvents& events);

  /// Starts to accept calls from other hosts. Returns the port, which the system chooses if `endpoint` has port 0, or a
  /// one-line error if the address is invalid or the system refuses to listen on it.
  tl::expected<std::uint16_t, std::string> listen(const Endpoint& endpoint);

  void call(PeerCallId call, const Endpoint& peer, PeerRequest request, Duration timeout) override;
  void answer(PeerCallId call, PeerResponse response) override;

 private:
  PeerLink& find_or_create_link(const Endpoint& peer);
  void taskFailed(kj::Exception&& exception) override;

  kj::AsyncIoContext& m_io;
  const Clock& m_clock;
  PeerRpcSettings m_settings;
  Counters& m_counters;
  PeerEvents* m_events = nullptr;
  std::mt19937_64 m_random;
  PeerServer m_server;
  std::map<Endpoint, std::unique_ptr<PeerLink>> m_links;
  // Holds promises that use m_links, so it must be destroyed first and therefore be declared last.
  kj::TaskSet m_call_tasks;
};

}  // namespace teaselrudder
