#pragma once

#include <utility>

#include "core/ports/peer_port.h"
#include "drivers/event_loop/event_loop.h"

namespace teaselrudder {

/// Passes events of other hosts on and requests a libuv round after each.
///
/// These events arrive in KJ continuations, and their receiver answers through adapters that use libuv. Without a round
/// what they started would wait until another event wakes the loop.
class RoundRequestingPeerEvents : public PeerEvents {
 public:
  /// Both must outlive this object.
  RoundRequestingPeerEvents(EventLoop& loop, PeerEvents& receiver) : m_loop(loop), m_receiver(receiver) {}

  void on_peer_request(PeerCallId call, PeerRequest request, TimePoint now) override {
    m_receiver.on_peer_request(call, std::move(request), now);
    m_loop.request_round();
  }

  void on_peer_request_cancelled(PeerCallId call, TimePoint now) override {
    m_receiver.on_peer_request_cancelled(call, now);
    m_loop.request_round();
  }

  void on_peer_answered(PeerCallId call, tl::expected<PeerResponse, PeerError> outcome, TimePoint now) override {
    m_receiver.on_peer_answered(call, std::move(outcome), now);
    m_loop.request_round();
  }

 private:
  EventLoop& m_loop;
  PeerEvents& m_receiver;
};

}  // namespace teaselrudder
